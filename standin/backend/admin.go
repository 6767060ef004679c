package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

// FaultsReport is the answer of GET and PUT faults.
type FaultsReport struct {
	Faults Faults    `json:"faults"`
	Since  time.Time `json:"since"`
}

// LogReport is the answer of GET log.
type LogReport struct {
	Executions []Execution `json:"executions"`
	// Dropped counts requests that exceeded the log's limit. The log is complete
	// only if it is zero.
	Dropped int `json:"dropped"`
}

// Admin returns the handler of the administration endpoints. Faults do not
// affect them. The server itself serves them under /standin:
//
//	GET  faults              FaultsReport
//	PUT  faults              body Faults, answers FaultsReport
//	GET  log?sinceUs=T       LogReport of requests since T (Unix microseconds)
//	GET  load                the true Load
//	POST drain               sheds new requests from now on, answers Load
//	POST restart             starts cold again, ends draining, answers Load
func (s *Server) Admin() http.Handler {
	r := chi.NewRouter()
	r.Get("/faults", s.getFaults)
	r.Put("/faults", s.putFaults)
	r.Get("/log", s.getLog)
	r.Get("/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Load()) })
	r.Post("/drain", s.post(s.Drain))
	r.Post("/restart", s.post(s.Restart))
	return r
}

func (s *Server) post(action func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		action()
		writeJSON(w, http.StatusOK, s.Load())
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	f, since := s.Faults()
	writeJSON(w, http.StatusOK, FaultsReport{Faults: f, Since: since})
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&f)
	if err == nil {
		err = s.SetFaults(f)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error(), Server: s.options.ID})
		return
	}
	s.getFaults(w, r)
}

func (s *Server) getLog(w http.ResponseWriter, r *http.Request) {
	var since time.Time
	if text := r.URL.Query().Get("sinceUs"); text != "" {
		us, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error(), Server: s.options.ID})
			return
		}
		since = time.UnixMicro(us)
	}
	executions, dropped := s.Executions(since)
	writeJSON(w, http.StatusOK, LogReport{Executions: executions, Dropped: dropped})
}
