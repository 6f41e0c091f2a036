package streamorigin

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// State is what the record says of a software version.
type State string

// States of a software version.
const (
	// Active versions may begin streams.
	Active State = "active"
	// Retired versions begin no streams, but callers may still hold streams that they began.
	Retired State = "retired"
)

// Record holds the software versions of the targets of each service that may have begun a
// stream which a caller still holds. It lies in the store, so that it outlives all processes,
// and a version is active in it before a target of that version begins a stream. So a record
// that is read after a stream has begun holds the stream's version.
type Record struct {
	// Complete reports whether no version is missing, as known in Era. The store may be
	// restored from a copy that lacks the latest versions; its era is higher then.
	Complete bool   `json:"complete"`
	Era      uint64 `json:"era"`
	// Services holds the state of each version by service and version.
	Services map[string]map[string]State `json:"services"`
}

// DecodeRecord decodes a record.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, errors.Annotate(err, "decoding the record of software versions")
	}
	for service, versions := range record.Services {
		for version, state := range versions {
			if state != Active && state != Retired {
				return Record{}, errors.NotValidf("state %q of software version %q of service %q", state, version, service)
			}
		}
	}
	return record, nil
}

// Encode returns the record as DecodeRecord reads it.
func (r *Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Annotate(err, "encoding the record of software versions"))
	}
	return data
}

// IsComplete reports whether no version is missing from the record as it was read in an
// era of the store.
func (r *Record) IsComplete(era uint64) bool {
	return r.Complete && r.Era == era
}

// OnlyVersion returns the version that began every stream of a service that callers still
// hold, if the record, read in an era of the store, proves that there is just one.
func (r *Record) OnlyVersion(era uint64, service string) (version string, proven bool) {
	versions := r.Services[service]
	if !r.IsComplete(era) || len(versions) != 1 {
		return "", false
	}
	for version = range versions {
	}
	return version, true
}

// set sets the state of a version.
func (r *Record) set(s Software, state State) {
	if r.Services == nil {
		r.Services = map[string]map[string]State{}
	}
	if r.Services[s.Service] == nil {
		r.Services[s.Service] = map[string]State{}
	}
	r.Services[s.Service][s.Version] = state
}

// state returns the state of a version; "" if it isn't in the record.
func (r *Record) state(s Software) State { return r.Services[s.Service][s.Version] }

// software returns the versions of the record.
func (r *Record) software() map[Software]State {
	all := map[Software]State{}
	for service, versions := range r.Services {
		for version, state := range versions {
			all[Software{Service: service, Version: version}] = state
		}
	}
	return all
}

// equal reports whether two records say the same.
func (r *Record) equal(other *Record) bool {
	return r.Complete == other.Complete && r.Era == other.Era && maps.Equal(r.software(), other.software())
}

// String returns the versions and their states for the log, in order.
func (r *Record) String() string {
	var versions []string
	for software, state := range r.software() {
		versions = append(versions, software.Service+"/"+software.Version+"="+string(state))
	}
	slices.Sort(versions)
	return strings.Join(versions, ",")
}
