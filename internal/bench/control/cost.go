package control

import (
	"context"
	"fmt"
	"time"
)

// Cost is the resource usage per node of a fleet, at one size of the quantity
// that is varied.
type Cost struct {
	Variable       string  `json:"against"` // the quantity that is varied: members, customers or models
	Size           int     `json:"size"`    // value of the quantity that is varied
	Members        int     `json:"members"`
	CorePercent    float64 `json:"core"`   // CPU usage, 100 is one core
	MemoryBytes    float64 `json:"memory"` // size of the live heap
	BytesPerSecond float64 `json:"bytes"`  // network traffic sent and received
}

// String formats the cost as one line.
func (c Cost) String() string {
	return fmt.Sprintf("%-9s %6d members %4d: %.4f%% of a core, %.2f MB, %.2f KB/s",
		c.Variable, c.Size, c.Members, c.CorePercent, c.MemoryBytes/1e6, c.BytesPerSecond/1e3)
}

// Slope is a linear fit of one metric of the costs against the varied quantity.
type Slope struct {
	Variable  string  `json:"against"`
	Metric    string  `json:"figure"`
	Intercept float64 `json:"base"` // value at size 0
	PerUnit   float64 `json:"each"` // increase per unit of size
}

// String formats the slope as one line.
func (s Slope) String() string {
	return fmt.Sprintf("%-9s %-6s = %.6g + %.6g × size", s.Variable, s.Metric, s.Intercept, s.PerUnit)
}

// Costs holds the results of a run.
type Costs struct {
	Rows   []Cost  `json:"rows"`
	Slopes []Slope `json:"slopes"`
}

// baseMembers is the size of the fleet when customers or models are varied.
const baseMembers = 24

// Bounds of the wait before a measurement. After its start a fleet still gossips
// the updates of all members that joined, and a measurement that starts earlier
// would include the cost of joining.
const (
	minSettle = 3 * time.Second
	maxSettle = 2 * time.Minute
)

// awaitGossip waits until no node has membership updates left to gossip. It waits at
// least minSettle and at most about maxSettle.
func (f *fleet) awaitGossip(ctx context.Context) {
	time.Sleep(minSettle)
	for end := time.Now().Add(maxSettle); ctx.Err() == nil && time.Now().Before(end); time.Sleep(minSettle / 3) {
		pending := 0
		for _, n := range f.nodes {
			pending += n.Members().PendingUpdates()
		}
		if pending == 0 {
			return
		}
	}
}

// MeasureCosts measures the cost per node for each number of members, and for
// each of the given numbers of customers and of models. It fits a line through
// each series.
func MeasureCosts(ctx context.Context, s Settings, members, sizes []int) (Costs, error) {
	var out Costs
	add := func(variable string, size, members, customers, models int) error {
		c, err := measureCost(ctx, s, members, customers, models)
		if err != nil {
			return fmt.Errorf("%s %d: %w", variable, size, err)
		}
		c.Variable, c.Size = variable, size
		fmt.Fprintln(s.Output, c)
		out.Rows = append(out.Rows, c)
		return nil
	}
	for _, n := range members {
		if err := add("members", n, n, 10, 1); err != nil {
			return out, err
		}
	}
	for _, n := range sizes {
		if err := add("customers", n, baseMembers, n, 1); err != nil {
			return out, err
		}
	}
	for _, n := range sizes {
		if err := add("models", n, baseMembers, 10, n); err != nil {
			return out, err
		}
	}
	for _, variable := range []string{"members", "customers", "models"} {
		if len(sizes) > 0 || variable == "members" {
			out.Slopes = append(out.Slopes, fitSlopes(variable, out.Rows)...)
		}
	}
	for _, sl := range out.Slopes {
		fmt.Fprintln(s.Output, sl)
	}
	return out, nil
}

// measureCost measures the cost per node of one fleet. The only load is a
// configuration change every 6 s, or about 14,000 changes a day.
func measureCost(ctx context.Context, s Settings, members, customers, models int) (Cost, error) {
	baseHeap := liveHeapBytes()
	f, err := start(ctx, members, baseConfiguration(customers, models))
	if err != nil {
		return Cost{}, err
	}
	defer f.close()
	f.awaitGossip(ctx)

	const changeInterval = 6 * time.Second
	before := f.usage()
	for i := 0; ctx.Err() == nil && time.Since(before.takenAt) < s.Duration; i++ {
		name := fmt.Sprintf("change%d", i)
		if _, err := f.apply(ctx, name, newChange(name)); err != nil {
			return Cost{}, err
		}
		time.Sleep(min(changeInterval, s.Duration))
	}
	after := f.usage()

	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	n := float64(members)
	const percent = 100
	return Cost{
		Members:     members,
		CorePercent: percent * (after.cpu - before.cpu).Seconds() / seconds / n,
		MemoryBytes: (liveHeapBytes() - baseHeap) / n,
		// The meter counts each byte once, at the end that dialled, but each
		// byte is sent by one node and received by another.
		BytesPerSecond: 2 * float64(after.sent-before.sent+after.received-before.received) / seconds / n,
	}, nil
}

// fitSlopes fits a line through each metric against the given quantity. It uses only
// the rows in which that quantity is varied.
func fitSlopes(variable string, rows []Cost) []Slope {
	var sizes, core, memory, bytes []float64
	for _, r := range rows {
		if r.Variable != variable {
			continue
		}
		sizes = append(sizes, float64(r.Size))
		core = append(core, r.CorePercent)
		memory = append(memory, r.MemoryBytes)
		bytes = append(bytes, r.BytesPerSecond)
	}
	return []Slope{
		linearFit(variable, "core", sizes, core),
		linearFit(variable, "memory", sizes, memory),
		linearFit(variable, "bytes", sizes, bytes),
	}
}

// linearFit returns a linear least-squares fit of y against x.
func linearFit(variable, metric string, x, y []float64) Slope {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	s := Slope{Variable: variable, Metric: metric}
	if d := n*sxx - sx*sx; d != 0 {
		s.PerUnit = (n*sxy - sx*sy) / d
		s.Intercept = (sy - s.PerUnit*sx) / n
	}
	return s
}
