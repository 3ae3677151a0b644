package chunk

import (
	"testing"

	"fulmardeal/internal/proof/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
