package budget

import (
	"fmt"
	"strconv"
	"testing"

	"fulmardeal/internal/proof/script"
)

// TestRefundExceedsBurst runs testdata/retries.txt: a retry that was withdrawn and not
// made is available again, but the budget never holds more than its burst.
func TestRefundExceedsBurst(t *testing.T) {
	var b *RetryBudget
	script.Run(t, "testdata/retries.txt", func(words []string) error {
		var numbers []float64
		for _, w := range words[1:] {
			f, err := strconv.ParseFloat(w, 64)
			if err != nil {
				return err
			}
			numbers = append(numbers, f)
		}
		repeat := func(f func()) {
			for range int(numbers[0]) {
				f()
			}
		}
		switch words[0] {
		case "budget": // RATIO BURST
			b = NewRetryBudget(numbers[0], numbers[1])
		case "burst": // BURST
			b.SetBurst(numbers[0])
		case "requests": // NUMBER
			repeat(b.Deposit)
		case "refunds": // NUMBER
			repeat(b.Refund)
		case "retries": // NUMBER: withdraws them, and no more
			granted := 0
			for b.Withdraw() {
				granted++
			}
			if float64(granted) != numbers[0] {
				return fmt.Errorf("got %d", granted)
			}
		default:
			return fmt.Errorf("unknown command")
		}
		return nil
	})
}
