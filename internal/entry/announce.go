package entry

import "net/http"

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusNotImplemented)
}
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, c *call) {}

type forwarder struct{}

func newForwarder(*Options) *forwarder { return &forwarder{} }
