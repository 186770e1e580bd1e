package inbound

import "sync"

// interimResponse is a response before the final one, which any caller by HTTP/1.1 accepts (RFC 9110, section 15.2).
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// interim decides when an interim response may be sent.
type interim struct {
	mu sync.Mutex
	// accepted is set while a request is handled whose caller accepts interim responses and has nothing of the final one.
	accepted bool
}

// accept records that a request is handled whose caller accepts interim responses.
func (i *interim) accept() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.accepted = true
}

// handleWrite records that the server writes to the caller. None of it reaches the caller before an interim response
// that is being sent. The server itself sends an interim response to callers that expect one.
func (i *interim) handleWrite(data []byte) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if string(data) != interimResponse {
		i.accepted = false
	}
}

// send sends an interim response to a caller that has all that was written before, and reports whether it did.
func (i *interim) send(write func(data []byte) error) (sent bool, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.accepted {
		return false, nil
	}
	err = write([]byte(interimResponse))
	return err == nil, err
}
