package consensus

import "fmt"

// silentLogger discards what the Raft library logs. Its fatal errors panic: they are faults of the
// program.
type silentLogger struct{}

func (silentLogger) Debug(...any) {}

func (silentLogger) Debugf(string, ...any) {}

func (silentLogger) Error(...any) {}

func (silentLogger) Errorf(string, ...any) {}

func (silentLogger) Info(...any) {}

func (silentLogger) Infof(string, ...any) {}

func (silentLogger) Warning(...any) {}

func (silentLogger) Warningf(string, ...any) {}

func (silentLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (silentLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (silentLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (silentLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
