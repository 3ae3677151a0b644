package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmardeal/internal/standin/platform"
)

// TestOneOwnerPerKey checks that when several entries concurrently claim the same
// keys and the log loses replies, all entries agree on one owner of each key.
func TestOneOwnerPerKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, keys = 5, 20
		log := platform.NewLog(0)
		log.SetFaults(platform.Faults{LossRate: 0.3})
		var mu sync.Mutex
		owners := make(map[string]string)
		var wg sync.WaitGroup
		for e := range entries {
			r := NewRegistry(log)
			for k := range keys {
				wg.Go(func() {
					key := fmt.Sprint("key", k)
					owner, err := r.Acquire(context.Background(), Claim{Key: key, Attempt: fmt.Sprintf("%d-%d", e, k)})
					if err != nil {
						return // the replies of all tries were lost
					}
					mu.Lock()
					defer mu.Unlock()
					if old, known := owners[key]; known && old != owner.Attempt {
						t.Errorf("%s is owned by both %s and %s", key, old, owner.Attempt)
					}
					owners[key] = owner.Attempt
				})
			}
		}
		wg.Wait()
		if len(owners) != keys {
			t.Errorf("%d keys have an owner, want %d", len(owners), keys)
		}
	})
}

// TestReplace checks that the owner of a key is replaced only by a claim whose After
// names the owner's attempt.
func TestReplace(t *testing.T) {
	tests := []struct {
		name   string
		second Claim
		wait   time.Duration
		want   string
	}{
		{"another claim", Claim{Key: "k", Attempt: "two"}, 0, "one"},
		{"one that follows the holder", Claim{Key: "k", Attempt: "two", After: "one"}, 0, "two"},
		{"one that follows another", Claim{Key: "k", Attempt: "two", After: "zero"}, 0, "one"},
		{"within the lifetime", Claim{Key: "k", Attempt: "two"}, ClaimLifetime - time.Minute, "one"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := platform.NewLog(0)
				ctx := context.Background()
				if _, err := NewRegistry(log).Acquire(ctx, Claim{Key: "k", Attempt: "one"}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(tc.wait)
				owner, err := NewRegistry(log).Acquire(ctx, tc.second)
				if err != nil || owner.Attempt != tc.want {
					t.Errorf("owner %q, error %v; want owner %q", owner.Attempt, err, tc.want)
				}
			})
		})
	}
}

// TestLogDown checks that claims fail while the log is unavailable.
func TestLogDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platform.NewLog(0)
		log.SetFaults(platform.Faults{Down: true})
		_, err := NewRegistry(log).Acquire(context.Background(), Claim{Key: "k", Attempt: "one"})
		var u *UnavailableError
		if !errors.As(err, &u) {
			t.Errorf("claim while the log is unavailable: error %v, want an *UnavailableError", err)
		}
	})
}
