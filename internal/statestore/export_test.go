package statestore

import "net/http"

// SetTransport makes a test's store respond to requests, without a connection.
func (c *Client) SetTransport(t http.RoundTripper) { c.http.Transport = t }
