package config

import "testing"

// FuzzParse checks that no settings file causes a panic and that settings
// without reported problems are within their bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"vm": {"id": "a", "region": "b", "data_centre": "c"}, "peer_address": "127.0.0.1:1"}`))
	f.Add([]byte(`{"callers": {"address": "127.0.0.1:80", "max_concurrent": -1, "body_timeout": "1h"}}`))
	f.Add([]byte(`{"slots": {"count": 99999, "lease_ttl": "x"}, "slots": null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		router, problems := ParseRouter(data)
		if len(problems) == 0 && (router.Callers.MaxConcurrent < 1 || router.Platform.Address == "") {
			t.Fatalf("out-of-bounds router settings were accepted: %+v", router)
		}
		agent, problems := ParseAgent(data)
		if len(problems) == 0 && (agent.Slots.Count < 1 || agent.Target.Pool == "") {
			t.Fatalf("out-of-bounds agent settings were accepted: %+v", agent)
		}
	})
}
