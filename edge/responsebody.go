package edge

import (
	"errors"
	"io"
)

// maxWholeResponseBytes is how much of a response is buffered if requests behind it on the
// caller's connection have been forwarded. Their responses are lost if a response that is
// streamed breaks off. Longer ones are rare, and a caller would wait for them for long.
const maxWholeResponseBytes = 4 << 20

// readResponseBody reads the body of a response to q, or at least its first bufferBytes if
// the rest may be streamed. The results are those of readBody.
func readResponseBody(body io.Reader, bufferBytes int, q *request, progress func()) (data []byte, whole bool, err error) {
	data, whole, err = readBody(body, bufferBytes, q.reserved, progress)
	if whole || (err != nil && !errors.Is(err, errNoMemory)) || q.stream == nil || q.stream(false) {
		return data, whole, err
	}
	if err == nil {
		reserved := unreservedBytes
		for reserved < len(data) {
			reserved += bodyChunkBytes
		}
		data, whole, err = continueBody(data, reserved, body, maxWholeResponseBytes, q.reserved, progress)
	}
	if !whole && (err == nil || errors.Is(err, errNoMemory)) {
		q.stream(true)
	}
	return data, whole, err
}
