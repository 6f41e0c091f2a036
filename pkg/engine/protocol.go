package engine

// Paths of the engine protocol, which uses HTTP/1.1 with JSON bodies. Streams are
// newline-delimited JSON with one Chunk or CacheEvent per line, including
// heartbeats.
const (
	// PathGenerate accepts a Request by POST and returns a stream of Chunk.
	PathGenerate = "/v1/generate"
	// PathStreams reopens a stream by GET with the query parameters id and from, and
	// cancels it by DELETE with id.
	PathStreams = "/v1/streams"
	// PathEvents returns a stream of CacheEvent by GET with the query parameters boot
	// and after.
	PathEvents = "/v1/events"
	// PathLoad returns a LoadReport by GET.
	PathLoad = "/v1/load"
	// PathOrders accepts an Order by POST.
	PathOrders = "/v1/orders"
	// PathImports accepts an ImportRequest by POST and returns an ImportResult.
	PathImports = "/v1/imports"
)

// ErrorCode identifies the error in an ErrorBody.
type ErrorCode string

// Error codes of the engine protocol.
const (
	// CodeRejected reports that the engine did not run the request.
	CodeRejected ErrorCode = "rejected"
	// CodeStaleFencingToken reports that an order's fencing token is stale.
	CodeStaleFencingToken ErrorCode = "fenced"
	// CodeUnknownStream reports that no stream has the given ID.
	CodeUnknownStream ErrorCode = "unknown_stream"
	// CodeDuplicate reports that the engine has already accepted a request with the
	// same ID.
	CodeDuplicate ErrorCode = "duplicate"
)

// ErrorBody is the JSON body of a response with an error status.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// ImportResult is the response to an ImportRequest.
type ImportResult struct {
	// Blocks is the number of blocks that arrived without a gap, counted from the first
	// requested one.
	Blocks int `json:"blocks"`
}
