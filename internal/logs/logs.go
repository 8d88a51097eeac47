package logs

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Start makes klog write to w, one JSON object per line, from the given level up.
func Start(w io.Writer, level slog.Level) {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: dropEmpty})
	klog.SetSlogLogger(slog.New(handler))
}

// dropEmpty omits top-level attributes whose value is empty text. A zero stays: it is a value.
func dropEmpty(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Value.String() == "" {
		return slog.Attr{}
	}
	return a
}
