package strictresponse

import (
	"io"
	"net/http"
	"net/textproto"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// body is the body of a response. It checks what only the end of the response tells.
type body struct {
	io.ReadCloser
	resp *http.Response
	conn *Conn
	// upload is the write of the request; nil if it had ended before the response was read.
	upload *Upload
	// err is the result of the last read; nil before it.
	err error
}

// checkBody makes the body of a response fail at its end if the response is broken.
func checkBody(resp *http.Response, conn *Conn, upload *Upload) {
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp, conn: conn, upload: upload}
	}
}

// ReadAll reads the body of a response to its end and closes it. A body of more than limit bytes
// is an error: it is never cut and taken for the whole.
func ReadAll(resp *http.Response, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("body exceeds %d bytes", limit)
	}
	return data, nil
}

// Read implements io.Reader. It returns io.EOF only at the end of a whole response.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	var malformed textproto.ProtocolError
	switch {
	case errors.Is(err, io.EOF):
		err = b.checkEnd()
	case errors.As(err, &malformed):
		err = invalidf("trailer: %.80s", string(malformed))
	}
	b.err = err
	return n, err
}

// checkEnd returns io.EOF if the response is valid and complete.
func (b *body) checkEnd() error {
	for name, values := range b.resp.Trailer {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return errors.Annotate(err, "trailer")
			}
		}
	}
	if HasFraming(b.resp) {
		return io.EOF
	}
	err := b.upload.awaitEnd()
	if err == nil {
		err = b.conn.checkReceipt()
	}
	if err != nil {
		return errors.WithType(errors.Annotate(err, string(ErrCutOff)), ErrCutOff)
	}
	return io.EOF
}

// checkField returns an error if a name or a value is none of a field. A value may hold any byte
// above 0x7f.
func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return invalidf("field name %.40q", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return invalidf("value %.40q of field %.40s", value, name)
	}
	return nil
}
