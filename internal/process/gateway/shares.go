package gateway

import (
	"math"
	"strconv"
	"time"
)

// reportedPlaces is how many of the customers above their part have a metric, by their place in
// the order of overuse. Their names are in the log and the state dump.
const reportedPlaces = 3

// reportShares logs which customers went above their part or came back, and updates the metrics.
func (g *Gateway) reportShares(now time.Time) {
	if !g.settings.Contention {
		return
	}
	shares := g.table.Shares(now)
	for _, c := range shares.Changes {
		message := "customer within its part"
		if c.Above {
			message = "customer above its part"
		}
		g.log.Info(message, "customer", c.Customer, "service", c.Service, "use", hundredths(c.Use), "part", hundredths(c.Part))
	}
	for service, n := range shares.Behind {
		g.stats.scope.Tagged(map[string]string{"service": service}).Counter("put_behind").Inc(int64(n))
	}
	for service, n := range shares.Left {
		g.stats.scope.Tagged(map[string]string{"service": service}).Counter("slots_left").Inc(int64(n))
	}
	short, unheard := 0, 0
	for _, s := range shares.States {
		if s.Short {
			short++
		}
		if s.Unheard {
			unheard++
		}
	}
	g.stats.scope.Gauge("short_services").Update(float64(short))
	g.stats.scope.Gauge("unheard_services").Update(float64(unheard))
	for i := range reportedPlaces {
		overuse := 0.0
		if i < len(shares.Above) {
			overuse = shares.Above[i].Overuse
		}
		g.stats.scope.Tagged(map[string]string{"place": strconv.Itoa(i + 1)}).Gauge("overuse").Update(overuse)
	}
	g.stats.scope.Gauge("above_part").Update(float64(len(shares.Above)))
}

// hundredths rounds a number to two decimals.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }
