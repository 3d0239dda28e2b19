package statestore

import "net/http"

// SetTransport has requests answered by a store of a test, without a connection.
func (c *Client) SetTransport(t http.RoundTripper) { c.http.Transport = t }
