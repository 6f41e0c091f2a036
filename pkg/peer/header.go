package peer

import (
	"net/http"

	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// ToHeaders converts the allowed headers to protobuf messages and omits all others.
func ToHeaders(header http.Header, allowed []string) []*peerpb.Header {
	var converted []*peerpb.Header
	for _, name := range allowed {
		for _, value := range header.Values(name) {
			converted = append(converted, &peerpb.Header{Name: name, Value: value})
		}
	}
	return converted
}

// FromHeaders converts headers from protobuf messages.
func FromHeaders(headers []*peerpb.Header) http.Header {
	converted := make(http.Header, len(headers))
	for _, header := range headers {
		converted.Add(header.Name, header.Value)
	}
	return converted
}
