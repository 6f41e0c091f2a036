package schedule

import "time"

// ProbeWindowSettings bounds the wait for probe answers.
type ProbeWindowSettings struct {
	// Factor and Slack set the window's length once MinAnswers have arrived:
	// Factor times the latency of the fastest answer, plus Slack.
	Factor float64
	Slack  time.Duration
	// MinAnswers is the number of answers required for Factor and Slack to apply.
	// If all probes are answered, the window closes even with fewer answers.
	MinAnswers int
	// MaxWait is the longest wait once there is at least one answer.
	MaxWait time.Duration
	// NoAnswerTimeout is the longest wait while there is no answer.
	NoAnswerTimeout time.Duration
}

// DefaultProbeWindowSettings returns the default settings.
func DefaultProbeWindowSettings() ProbeWindowSettings {
	return ProbeWindowSettings{
		Factor:          2,
		Slack:           2 * time.Millisecond,
		MinAnswers:      2,
		MaxWait:         20 * time.Millisecond,
		NoAnswerTimeout: 200 * time.Millisecond,
	}
}

// ProbeWindow determines how long to wait for the answers to one request's
// probes. It is not safe for concurrent use.
type ProbeWindow struct {
	settings ProbeWindowSettings
	start    time.Time
	fastest  time.Duration
	probes   int
	answers  int
}

// NewProbeWindow returns a window for a number of probes sent at start.
func NewProbeWindow(settings ProbeWindowSettings, probes int, start time.Time) *ProbeWindow {
	return &ProbeWindow{settings: settings, probes: probes, start: start}
}

// AddProbes adds probes that were sent later, to hinted targets.
func (w *ProbeWindow) AddProbes(probes int) {
	w.probes += probes
}

// RecordFailure records that one probe failed and will not be answered.
func (w *ProbeWindow) RecordFailure() {
	w.probes--
}

// RecordAnswer records one answer.
func (w *ProbeWindow) RecordAnswer(now time.Time) {
	w.answers++
	if w.answers == 1 {
		w.fastest = now.Sub(w.start)
	}
}

// Deadline returns the time at which the window closes if no further answer or
// failure is recorded.
func (w *ProbeWindow) Deadline() time.Time {
	switch {
	case w.answers >= w.probes:
		return w.start
	case w.answers == 0:
		return w.start.Add(w.settings.NoAnswerTimeout)
	case w.answers < w.settings.MinAnswers:
		return w.start.Add(w.settings.MaxWait)
	}
	wait := time.Duration(w.settings.Factor*float64(w.fastest)) + w.settings.Slack
	return w.start.Add(min(wait, w.settings.MaxWait))
}

// Closed reports whether the wait is over.
func (w *ProbeWindow) Closed(now time.Time) bool {
	return !now.Before(w.Deadline())
}
