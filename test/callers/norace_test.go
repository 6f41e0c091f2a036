//go:build !race

package callers

// raceEnabled is set in a test binary with the race detector.
const raceEnabled = false
