package consensus

import "fmt"

// silentLogger discards the log of the Raft library: operators learn of its failures from the errors
// of Ready and of its decisions from the table. Fatal messages panic, as they report programming errors.
type silentLogger struct{}

// Debug implements raft.Logger.
func (silentLogger) Debug(...any) {}

// Debugf implements raft.Logger.
func (silentLogger) Debugf(string, ...any) {}

// Error implements raft.Logger.
func (silentLogger) Error(...any) {}

// Errorf implements raft.Logger.
func (silentLogger) Errorf(string, ...any) {}

// Info implements raft.Logger.
func (silentLogger) Info(...any) {}

// Infof implements raft.Logger.
func (silentLogger) Infof(string, ...any) {}

// Warning implements raft.Logger.
func (silentLogger) Warning(...any) {}

// Warningf implements raft.Logger.
func (silentLogger) Warningf(string, ...any) {}

// Fatal implements raft.Logger.
func (silentLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf implements raft.Logger.
func (silentLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic implements raft.Logger.
func (silentLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf implements raft.Logger.
func (silentLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
