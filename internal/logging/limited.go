package logging

import (
	"log"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A limited logger writes at most limitedLines with the same message in limitInterval.
const (
	limitInterval = 10 * time.Second
	limitedLines  = 5
)

// Limited returns a logger for lines that an input may cause again and again.
func Limited(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, limitInterval, limitedLines, 0)
	}))
}

// TakeLibraryLines makes a logger write the lines of libraries that use the package log, at a limited rate, until
// restore is called. They would go to standard error, where a write may block.
func TakeLibraryLines(logger *zap.Logger) (restore func()) {
	former, flags := log.Writer(), log.Flags()
	log.SetOutput(libraryLines{Limited(logger)})
	log.SetFlags(0)
	return func() {
		log.SetOutput(former)
		log.SetFlags(flags)
	}
}

type libraryLines struct{ logger *zap.Logger }

// Write implements io.Writer. It leaves out what a line quotes: net/http quotes responses that it can't use.
func (w libraryLines) Write(line []byte) (int, error) {
	text, _, _ := strings.Cut(string(line), `"`)
	w.logger.Warn("library", zap.String("note", strings.TrimSpace(text)))
	return len(line), nil
}
