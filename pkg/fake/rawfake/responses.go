package rawfake

import (
	"fmt"
	"strings"
)

// WholeBody is the body of the responses that Valid returns, and ForgedBody the one that no
// reader may take for the body of a response that InvalidStatuses or InvalidFields return.
const (
	WholeBody  = `{"whole":1}`
	ForgedBody = `{"forged":1}`
)

// framed returns a response with a body of stated length. Fields are header lines, each with its
// CR LF.
func framed(statusLine, fields, body string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(body), body)
}

// InvalidStatuses returns responses whose status is none of an answer to a plain request. Each
// once has a body, and once one that looks like a valid response.
func InvalidStatuses(fields string) []Response {
	forged := framed("HTTP/1.1 200 OK", fields, ForgedBody)
	var responses []Response
	for _, status := range []string{"000", "020", "099", "-00", "+20", "101", "600", "999", "20", "2000", "2 0", ""} {
		line, name := "HTTP/1.1 "+status+" Text", fmt.Sprintf("status %q", status)
		responses = append(responses, Response{Name: name, Text: framed(line, fields, ForgedBody), End: AwaitPeer},
			Response{Name: name + " with a response as its body", Text: framed(line, fields, forged), End: AwaitPeer})
	}
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200 O\x00K", "http/1.1 200 OK", "HTTP/1.1", "1 200 OK", "HTTP/1.+ 200 OK", ""} {
		responses = append(responses, Response{Name: fmt.Sprintf("status line %q", line), Text: framed(line, fields, ForgedBody), End: AwaitPeer})
	}
	return append(responses, Response{
		Name: "an informational response with a response as its body", End: AwaitPeer,
		Text: framed("HTTP/1.1 103 Early Hints", "", forged),
	}, Response{
		Name: "an informational response in chunks", End: AwaitPeer,
		Text: fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n%s", forged),
	})
}

// Valid returns unusual responses that are valid. All have status 200 and WholeBody.
func Valid(fields string) []Response {
	whole := framed("HTTP/1.1 200 OK", fields, WholeBody)
	chunked := "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n"
	chunk := fmt.Sprintf("%x", len(WholeBody))
	responses := []Response{
		{Name: "no reason", Text: framed("HTTP/1.1 200 ", fields, WholeBody)},
		{Name: "no reason and no blank", Text: framed("HTTP/1.1 200", fields, WholeBody)},
		{Name: "a reason in Latin-1", Text: framed("HTTP/1.1 200 D\xe9j\xe0 vu\t!", fields, WholeBody)},
		{Name: "version 1.0", Text: framed("HTTP/1.0 200 OK", fields, WholeBody)},
		{Name: "lines that end with LF alone", Text: strings.ReplaceAll(whole, "\r\n", "\n")},
		{Name: "an informational response before it", Text: "HTTP/1.1 100 Continue\r\n\r\n" + whole},
		{Name: "informational responses with fields before it", Text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + whole},
		{Name: "an unknown informational response before it", Text: "HTTP/1.1 199 Wait\r\nX-A:\r\n\r\n" + whole},
		{Name: "an informational response that states a length of 0 before it", Text: "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + whole},
		{Name: "an informational response of version 1.0 before it", Text: "HTTP/1.0 100 Continue\r\n\r\n" + whole},
		{Name: "no length", Text: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + WholeBody},
		{Name: "no length, version 1.0", Text: "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + WholeBody},
		{Name: "one chunk", Text: chunked + "\r\n" + chunk + "\r\n" + WholeBody + "\r\n0\r\n\r\n"},
		{Name: "a chunk with an extension", Text: chunked + "\r\n" + chunk + ";a=\"b\"\r\n" + WholeBody + "\r\n0;c\r\n\r\n"},
		{Name: "trailers", Text: chunked + "Trailer: X-A\r\n\r\n" + chunk + "\r\n" + WholeBody + "\r\n0\r\nX-A: 1\r\nX-B:\r\nX-C: \xe9\r\n\r\n"},
	}
	for _, field := range []string{
		"X-Empty:", "X-Empty: ", "X-Latin: caf\xe9", "X-Utf-8: \xe2\x82\xac", "X-Tab: a\tb", "X-No-Blank:a", "X-Blanks: \t a \t ",
		"!#$%&'*+-.^_`|~09azAZ: 1", "x: :", "X-Folded: a\r\n b\r\n\tc", "X-Folded:\r\n b", "X-Long: " + strings.Repeat("x", 20<<10),
		"Set-Cookie: a=b\r\nSet-Cookie: c=d", "X-Quoted: \"a\\\"b\"",
	} {
		name := fmt.Sprintf("the field %.40q", field)
		responses = append(responses, Response{Name: name, Text: framed("HTTP/1.1 200 OK", fields+field+"\r\n", WholeBody)},
			Response{Name: name + " first", Text: framed("HTTP/1.1 200 OK", field+"\r\n"+fields, WholeBody)})
	}
	return responses
}

// emptyName is a line with an empty name. In a trailer, net/http drops it before anybody sees it.
const emptyName = ": 1"

// invalidFields holds lines that are no header field, wherever they stand.
var invalidFields = []string{
	"X Name: 1", "X-Name : 1", "X-Name\t: 1", "X-\x01: 1", "X-\x00: 1", "X-\x7f: 1", "X-\xe9: 1", "X-\r: 1", emptyName, "no colon",
	"X(1): 1", "\"X\": 1", "X@: 1", "X-Value: a\x00b", "X-Value: a\x01b", "X-Value: a\rb", "X-Value: a\x7fb", "X-Value: a\x1b[0m",
	"Transfer-Encoding : chunked", "Content-Length : 1", "Transfer Encoding: chunked",
}

// InvalidFields returns responses in whose heads, in those of informational responses before them,
// or in whose trailers a line is no valid field.
func InvalidFields(fields string) []Response {
	var responses []Response
	add := func(name, text string) {
		responses = append(responses, Response{Name: name, Text: text, End: AwaitPeer})
	}
	valid := framed("HTTP/1.1 200 OK", fields, ForgedBody)
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(ForgedBody), ForgedBody)
	chunked := "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunk
	for _, field := range invalidFields {
		line := field + "\r\n"
		add(fmt.Sprintf("the last field %q", field), framed("HTTP/1.1 200 OK", fields+line, ForgedBody))
		add(fmt.Sprintf("the first field %q", field), framed("HTTP/1.1 200 OK", line+fields, ForgedBody))
		add(fmt.Sprintf("the field %q in an informational response", field), "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+valid)
		if field != emptyName {
			add(fmt.Sprintf("the field %q in the trailer", field), chunked+"X-A: 1\r\n"+line+"\r\n")
		}
	}
	add("a blank before the first field", framed("HTTP/1.1 200 OK", " "+fields, ForgedBody))
	add("a blank before the first field of an informational response", "HTTP/1.1 103 Early Hints\r\n X-A: 1\r\n\r\n"+valid)
	add("a folded value with a control byte", framed("HTTP/1.1 200 OK", fields+"X-A: 1\r\n b\x00\r\n", ForgedBody))
	head := "HTTP/1.1 200 OK\r\n" + fields
	responses = append(responses,
		Response{Name: "chunks behind a blank after the name Transfer-Encoding", Text: head + "Transfer-Encoding : chunked\r\n\r\n" + chunk + "\r\n"},
		Response{Name: "a body longer than the length behind a blank after the name", Text: head + "Content-Length : 1\r\n\r\n" + ForgedBody})
	return responses
}

// InvalidFraming returns responses whose heads contradict themselves about the end of the body.
func InvalidFraming(fields string) []Response {
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(ForgedBody), ForgedBody)
	framing := "Transfer-Encoding: chunked\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(ForgedBody))
	return []Response{
		{Name: "chunks and a length", Text: "HTTP/1.1 200 OK\r\n" + fields + framing + length + "\r\n" + chunks, End: AwaitPeer},
		{Name: "a length and chunks", Text: "HTTP/1.1 200 OK\r\n" + fields + length + framing + "\r\n" + chunks, End: AwaitPeer},
		{Name: "chunks in version 1.0", Text: "HTTP/1.0 200 OK\r\n" + fields + framing + "\r\n" + chunks},
		{Name: "chunks and a length in version 1.0", Text: "HTTP/1.0 200 OK\r\n" + fields + framing + length + "\r\n" + ForgedBody, End: AwaitPeer},
	}
}
