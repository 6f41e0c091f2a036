package engine

// Paths of the engine protocol, HTTP/1.1 with JSON bodies. Streams are
// newline-delimited JSON: one Chunk or CacheEvent a line, heartbeats included.
const (
	// PathGenerate takes a Request by POST and answers with a stream of Chunk.
	PathGenerate = "/v1/generate"
	// PathStreams gives a stream again by GET with the query fields id and
	// from, and ends one by DELETE with id.
	PathStreams = "/v1/streams"
	// PathEvents gives a stream of CacheEvent by GET with boot and after.
	PathEvents = "/v1/events"
	// PathLoad gives a LoadReport by GET.
	PathLoad = "/v1/load"
	// PathOrders takes an Order by POST.
	PathOrders = "/v1/orders"
	// PathImports takes a Transfer by POST and answers with ImportResult.
	PathImports = "/v1/imports"
)

// ErrorCode is the machine-readable part of an error body.
type ErrorCode string

// Codes of an error body.
const (
	// CodeRejected means that the engine did not run the request.
	CodeRejected ErrorCode = "rejected"
	// CodeStaleFencingToken means that an order's fencing number is too old.
	CodeStaleFencingToken ErrorCode = "fenced"
	// CodeUnknownStream means that there is no stream with the id.
	CodeUnknownStream ErrorCode = "unknown_stream"
	// CodeDuplicate means that the engine has already taken a request with the id.
	CodeDuplicate ErrorCode = "duplicate"
)

// ErrorBody is the JSON body of an answer with an error status.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// ImportResult is the answer to a Transfer.
type ImportResult struct {
	// Blocks is the number of leading blocks that arrived.
	Blocks int `json:"blocks"`
}
