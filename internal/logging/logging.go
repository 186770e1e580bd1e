// Package logging builds the JSON-lines logger of every program.
package logging

import (
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes lines of at least a level: debug, info, warn
// or error; empty is info.
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
