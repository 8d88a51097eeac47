package fleet

import (
	"io"
	"log/slog"
	"os"
	"testing"

	"geraniumseam.dev/internal/logs"
)

func TestMain(m *testing.M) {
	logs.Start(io.Discard, slog.LevelInfo)
	os.Exit(m.Run())
}
