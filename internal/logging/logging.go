// Package logging creates the JSON-lines logger used by all programs.
package logging

import (
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger with a minimum level: debug, info, warn or error. An empty level
// means info.
func New(w io.Writer, level string) (*zap.Logger, error) {
	parsed := zapcore.InfoLevel
	if level != "" {
		if err := parsed.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("log level: %w", err)
		}
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}
