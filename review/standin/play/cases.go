package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmardeal/platform"
)

// startSmall starts gateways and runners, and waits until they are ready.
func startSmall(ctx context.Context, d *deployment, entries, runners int, downtime time.Duration, proxied bool, args ...string) error {
	if err := errors.Join(d.configure(), d.name(1)); err != nil {
		return err
	}
	for range runners {
		if _, err := d.addRunner(downtime, proxied, args...); err != nil {
			return err
		}
	}
	if err := d.startEntries(entries); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// framing returns the arguments by which runners answer without a length or chunks.
func framing() []string {
	if *chunked {
		return nil
	}
	return []string{"-unframed"}
}

const poisonPart = "5c1e07a2"

// playPoison sends requests with a part that crashes each runner that begins to answer it.
func playPoison(ctx context.Context, d *deployment) (string, error) {
	args := framing()
	if *trouble {
		args = append(args, "-poison", poisonPart)
	}
	if err := startSmall(ctx, d, 3, 8, 3*time.Second, false, args...); err != nil {
		return "", err
	}
	sleep(ctx, 4*time.Second)
	var sound, poisoned crowd
	soundCtx, stop := context.WithCancel(ctx)
	defer stop()
	var crowds sync.WaitGroup
	start := time.Now()
	crowds.Go(func() {
		sound.run(soundCtx, d, 16, "sound-", 600*time.Millisecond, func(a string) string { return shared() + a + ":560" })
	})
	sleep(ctx, 8*time.Second)
	d.note("requests with the part %s begin", poisonPart)
	begun := time.Now()
	poisonCtx, stopPoison := context.WithTimeout(ctx, 40*time.Second)
	defer stopPoison()
	poisoned.run(poisonCtx, d, *senders, "poison-", *pause, func(a string) string { return shared() + poisonPart + ":100," + a + ":460" })
	end := time.Now()
	stop()
	crowds.Wait()
	return checkPoison(d, &sound, start, begun, end), nil
}

// shared returns the parts that all prompts begin with.
func shared() string {
	out := "91bd3f06:40,"
	for i := range *parts {
		out += fmt.Sprintf("a%07x:2,", i)
	}
	return out
}

// checkPoison checks the rule: at most three requests with the part reach runners later than
// contactMs after the fifth crash.
func checkPoison(d *deployment, sound *crowd, start, begun, end time.Time) string {
	d.mu.Lock()
	events := slices.Clone(d.events)
	d.mu.Unlock()
	slices.SortStableFunc(events, func(a, b event) int { return a.time().Compare(b.time()) })
	crashes, late := 0, 0
	var fifth time.Time
	for _, e := range events {
		switch e.Kind {
		case "crash":
			if crashes++; crashes == 5 {
				fifth = e.time()
				d.note("the fifth crash was at %.3f", fifth.Sub(d.started).Seconds())
			}
		case "received":
			if strings.Contains(e.Parts, poisonPart) && !fifth.IsZero() && e.time().Sub(fifth) > contact {
				late++
			}
		}
	}
	before, allBefore := sound.share(start, begun, func(a answer) bool { return a.begun })
	during, allDuring := sound.share(begun, end, func(a answer) bool { return a.begun })
	d.note("crashes: %d; requests with the part that reached runners later than contactMs after the fifth: %d", crashes, late)
	d.note("sound requests that began at the first attempt: %d of %d before, %d of %d meanwhile", before, allBefore, during, allDuring)
	if !fifth.IsZero() {
		later, allLater := sound.share(fifth.Add(2*contact), end, func(a answer) bool { return a.begun })
		d.note("the same from 2 x contactMs after the fifth crash on: %d of %d", later, allLater)
	}
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with the part reached runners later than contactMs after the fifth crash, 3 are allowed; %d crashes", late, crashes)
	}
	return ""
}

// playCrash kills one runner after the other while streams are in progress.
func playCrash(ctx context.Context, d *deployment) (string, error) {
	const runners = 6
	if err := startSmall(ctx, d, 3, runners, 4500*time.Millisecond, false, framing()...); err != nil {
		return "", err
	}
	sleep(ctx, 4*time.Second)
	var sound crowd
	soundCtx, stop := context.WithTimeout(ctx, 40*time.Second)
	defer stop()
	var crowds sync.WaitGroup
	crowds.Go(func() {
		sound.run(soundCtx, d, 24, "sound-", 300*time.Millisecond, func(a string) string { return "91bd3f06:40," + a + ":560" })
	})
	for i := range 4 {
		sleep(ctx, 8*time.Second)
		if r := d.runners[i%runners]; *trouble {
			r.mu.Lock()
			d.note("runner %s is killed", r.id)
			_ = r.command.Process.Kill() // fails if it has crashed already
			r.mu.Unlock()
		}
	}
	crowds.Wait()
	cut, all := sound.share(time.Time{}, time.Now(), func(a answer) bool { return a.status == http.StatusOK && a.ended && !a.last })
	served, _ := sound.share(time.Time{}, time.Now(), answer.served)
	d.note("of %d requests %d were served whole, %d got a stream that ends as complete before its last piece", all, served, cut)
	if served == 0 {
		return "", errors.New("nothing was served")
	}
	if cut > 0 {
		return fmt.Sprintf("ORDER: %d streams ended as complete before their last piece", cut), nil
	}
	return "", nil
}

// playSilence lets the open connections to the runners go silent for good just after new weights
// were named.
func playSilence(ctx context.Context, d *deployment) (string, error) {
	machines := time.Now()
	if err := startSmall(ctx, d, 2, 4, time.Second, true, "-stage-delay", "5ms"); err != nil {
		return "", err
	}
	sleep(ctx, 1500*time.Millisecond)
	if err := d.name(2); err != nil {
		return "", err
	}
	named := time.Now()
	if *trouble {
		for !d.allAsked(named) && ctx.Err() == nil {
			if time.Since(named) > 5*time.Second {
				return "", errors.New("not all loaders look at what is staged")
			}
			time.Sleep(5 * time.Millisecond)
		}
		d.note("the open connections to the runners go silent for good; new ones work")
		for _, r := range d.runners {
			r.proxy.Mute()
		}
	}
	sleep(ctx, 10*time.Second-time.Since(machines))
	d.note("the traffic starts")
	var sound crowd
	trafficCtx, stop := context.WithTimeout(ctx, 80*time.Second)
	defer stop()
	sound.run(trafficCtx, d, 12, "sound-", 500*time.Millisecond, func(a string) string { return "91bd3f06:40," + a + ":560" })
	served, all := sound.share(time.Time{}, time.Now(), answer.served)
	loaded := d.count(func(e event) bool { return e.Kind == "loaded" && e.Version == 2 })
	d.note("%d of %d requests were served; %d of %d runners loaded version 2", served, all, loaded, len(d.runners))
	for _, r := range d.runners {
		last := time.Now().Add(-10 * time.Second)
		d.note("in the last 10 s, runner %s was asked for its state %d times, and for staged pieces %d times; %d were staged", r.id,
			len(d.attempts("state", r.id, last)), len(d.attempts("get", r.id, last)), len(d.attempts("put", r.id, last)))
	}
	if served == 0 {
		return fmt.Sprintf("Fault: no request is served, of %d; %d of %d runners loaded version 2", all, loaded, len(d.runners)), nil
	}
	return "", nil
}

// allAsked reports whether all loaders have begun to look at what is staged since a time.
func (d *deployment) allAsked(since time.Time) bool {
	for _, r := range d.runners {
		if len(d.attempts("get", r.id, since)) < 5 {
			return false
		}
	}
	return true
}

// playLate lets the store do one heartbeat of a runner late, after the runner has left the list.
func playLate(ctx context.Context, d *deployment) (string, error) {
	const (
		drain   = 2 * time.Second                // drainMs
		lateBy  = 6 * time.Second                // from the lost answer until the write is done, at most
		removal = contact + 300*time.Millisecond // from that call until the runner leaves the list
		serves  = drain + 3000*time.Millisecond  // from then until the runner exits
	)
	if err := startSmall(ctx, d, 3, 3, time.Second, false, "-interval", "120ms"); err != nil {
		return "", err
	}
	sleep(ctx, 4*time.Second)
	var sound crowd
	trafficCtx, stop := context.WithTimeout(ctx, 24*time.Second)
	defer stop()
	var crowds sync.WaitGroup
	crowds.Go(func() {
		sound.run(trafficCtx, d, 36, "sound-", 300*time.Millisecond, func(a string) string { return "91bd3f06:40," + a + ":560" })
	})
	sleep(ctx, 5*time.Second)
	r := d.runners[len(d.runners)-1]
	r.mu.Lock()
	r.holds = *trouble
	r.mu.Unlock()
	sleep(ctx, 2*heartbeat)
	r.mu.Lock()
	lost := r.lateAt
	r.mu.Unlock()
	if !*trouble {
		lost = time.Now()
	}
	sleep(ctx, time.Until(lost.Add(removal)))
	r.mu.Lock()
	r.silent, r.gone = true, true
	d.store.Append(string(platform.TopicRegistrations), []platform.Record{{Key: r.id}})
	removed := time.Now()
	r.mu.Unlock()
	d.note("store: runner %s has left the list, acknowledged; its newest heartbeat was %s", r.id, r.record.Value)
	if resp, err := http.Post("http://"+r.address+"/standin/leave", "", nil); err == nil {
		resp.Body.Close()
	}
	if *trouble {
		sleep(ctx, time.Until(lost.Add(lateBy)))
		d.store.Append(string(platform.TopicRegistrations), []platform.Record{r.late})
		d.note("store: the late heartbeat of runner %s is done", r.id)
	}
	sleep(ctx, serves-time.Since(removed))
	d.note("runner %s exits", r.id)
	_ = r.command.Process.Kill() // fails if it has ended
	crowds.Wait()
	reached := d.attempts("received", r.id, removed.Add(drain))
	ended := d.attempts("end", r.id, removed.Add(drain))
	broken := slices.DeleteFunc(slices.Clone(reached), func(a string) bool { return slices.Contains(ended, a) })
	d.note("requests that reached runner %s later than drainMs after it had left the list: %v; lost when it exited: %v", r.id, reached, broken)
	if len(reached) > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a runner later than drainMs after it had left the list; %d of them were lost when it exited", len(reached), len(broken)), nil
	}
	return "", nil
}

// playStageBad freezes a loader between its check of the staged pieces and its order to load
// them. One of the pieces turns bad meanwhile.
func playStageBad(ctx context.Context, d *deployment) (string, error) {
	frozen := make(chan struct{})
	var once sync.Once
	d.onEvent = func(r *runnerProcess, e event) {
		if e.Kind == "get" && e.Detail == "2" && e.Number == 10 && *trouble {
			once.Do(func() {
				_ = d.loaders[0].Process.Signal(syscall.SIGSTOP)
				close(frozen)
			})
		}
	}
	if err := startSmall(ctx, d, 1, 1, time.Second, false, "-stage-delay", "5ms"); err != nil {
		return "", err
	}
	sleep(ctx, 2*time.Second)
	var sound crowd
	trafficCtx, stop := context.WithTimeout(ctx, 40*time.Second)
	defer stop()
	var crowds sync.WaitGroup
	crowds.Go(func() {
		sound.run(trafficCtx, d, 4, "sound-", 500*time.Millisecond, func(a string) string { return "91bd3f06:40," + a + ":560" })
	})
	sleep(ctx, 2*time.Second)
	if err := d.name(2); err != nil {
		return "", err
	}
	if *trouble {
		select {
		case <-frozen:
		case <-time.After(20 * time.Second):
			return "", errors.New("the loader hasn't checked its pieces")
		}
		d.note("the machine of the loader is frozen")
		if resp, err := http.Post("http://"+d.runners[0].address+"/standin/rot?num=3", "", nil); err == nil {
			resp.Body.Close()
		}
		sleep(ctx, 4*time.Second)
		_ = d.loaders[0].Process.Signal(syscall.SIGCONT)
		d.note("the machine of the loader goes on")
	}
	crowds.Wait()
	spoilt := d.count(func(e event) bool { return e.Kind == "run" && e.Detail != "" })
	runs := d.count(func(e event) bool { return e.Kind == "run" && e.Version == 2 })
	d.note("%d requests ran with version 2, %d of them with a spoilt piece", runs, spoilt)
	if spoilt > 0 {
		return fmt.Sprintf("WHOLE: %d requests ran with a layer from a piece that had turned bad more than 3 s before", spoilt), nil
	}
	if runs == 0 {
		return "", errors.New("no request ran with version 2")
	}
	return "", nil
}
