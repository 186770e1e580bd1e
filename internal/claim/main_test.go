package claim

import (
	"os"
	"testing"

	"dooryard.example/dooryard/internal/testlib"
)

func TestMain(m *testing.M) {
	testlib.FixRapidSeed()
	os.Exit(m.Run())
}
