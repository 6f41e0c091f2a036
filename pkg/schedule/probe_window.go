package schedule

import "time"

// ProbeWindowSettings bound the wait for probe answers.
type ProbeWindowSettings struct {
	// Factor and Slack: once enough answers are in, the window closes at Factor
	// times the fastest answer's time plus Slack.
	Factor float64
	Slack  time.Duration
	// MinAnswers is enough, where as many were asked.
	MinAnswers int
	// Max closes the window when there is any answer.
	Max time.Duration
	// NoAnswerTimeout closes the window when there is none.
	NoAnswerTimeout time.Duration
}

// DefaultProbeWindowSettings returns the settings used when the operator gives none.
func DefaultProbeWindowSettings() ProbeWindowSettings {
	return ProbeWindowSettings{
		Factor:          2,
		Slack:           2 * time.Millisecond,
		MinAnswers:      2,
		Max:             20 * time.Millisecond,
		NoAnswerTimeout: 200 * time.Millisecond,
	}
}

// ProbeWindow says how long to wait for the answers to one request's probes.
// It is owned by one goroutine.
type ProbeWindow struct {
	settings ProbeWindowSettings
	start    time.Time
	fastest  time.Duration
	asked    int
	answered int
}

// NewProbeWindow starts a window for asked probes sent at start.
func NewProbeWindow(settings ProbeWindowSettings, asked int, start time.Time) *ProbeWindow {
	return &ProbeWindow{settings: settings, asked: asked, start: start}
}

// AddProbes adds probes sent later, to hinted targets.
func (w *ProbeWindow) AddProbes(probes int) {
	w.asked += probes
}

// RecordFailure notes a probe that will not be answered.
func (w *ProbeWindow) RecordFailure() {
	w.asked--
}

// RecordAnswer notes one answer.
func (w *ProbeWindow) RecordAnswer(now time.Time) {
	w.answered++
	if w.answered == 1 {
		w.fastest = now.Sub(w.start)
	}
}

// Deadline returns the time at which the window closes as things stand.
func (w *ProbeWindow) Deadline() time.Time {
	switch {
	case w.answered >= w.asked:
		return w.start
	case w.answered == 0:
		return w.start.Add(w.settings.NoAnswerTimeout)
	case w.answered < w.settings.MinAnswers:
		return w.start.Add(w.settings.Max)
	}
	wait := time.Duration(w.settings.Factor*float64(w.fastest)) + w.settings.Slack
	return w.start.Add(min(wait, w.settings.Max))
}

// Closed says whether to go on with the answers that are in.
func (w *ProbeWindow) Closed(now time.Time) bool {
	return !now.Before(w.Deadline())
}
