package configuration

import (
	"testing"

	"fulmardeal/internal/proof/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
