package logs

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Start sends everything that klog logs from now on to w, a JSON object a line.
func Start(w io.Writer, level slog.Level) {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: dropEmpty})
	klog.SetSlogLogger(slog.New(handler))
}

// dropEmpty leaves out attributes that say nothing.
func dropEmpty(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Value.String() {
	case "", "0":
		return slog.Attr{}
	}
	return a
}
