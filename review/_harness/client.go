package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// result is how a caller's request ended; status is 0 without a whole answer.
type result struct {
	id     string
	edge   int
	sentAt time.Time
	status int
	body   string
	err    error
}

// firstEventPatience is how long a client waits for the first event of a stream: four times the
// objective.
const firstEventPatience = 3600 * time.Millisecond

var streamClient = &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: firstEventPatience}}

// send sends one request on a new connection.
func (s *system) send(edge int, method, path string, body string, headers map[string]string, timeout time.Duration) result {
	res := result{id: fmt.Sprintf("q%08d", requestCount.Add(1)), edge: edge, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.front(edge)+path, strings.NewReader(body))
	check(err)
	req.Host = "desk.example"
	req.Close = true
	req.GetBody = nil
	req.Header.Set(wire["id"], res.id)
	req.Header.Set(wire["deadline"], fmt.Sprint(timeout.Milliseconds()))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	s.rec.add("client sends %s %s %s to %s", res.id, method, path, s.edges[edge%len(s.edges)].Name)
	client := http.DefaultClient
	if headers[wire["model"]] != "" {
		client = streamClient
	}
	resp, err := client.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			res.status, res.body = resp.StatusCode, string(b)
		}
	}
	res.err = err
	if err != nil {
		s.rec.add("client of %s: no answer: %v", res.id, err)
	} else {
		s.rec.add("client of %s: %d %s", res.id, res.status, strings.TrimSpace(res.body))
	}
	return res
}

// traffic sends commits and peeks to all edges, until stop is called, which returns the results.
func (s *system) traffic(interval time.Duration) (stop func() []result) {
	done := make(chan struct{})
	var wg, requests sync.WaitGroup
	var mu sync.Mutex
	var results []result
	wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			requests.Go(func() {
				path, method, body := "/commit/x", http.MethodPost, "drums=1"
				if i/len(s.edges)%2 == 1 {
					path, method, body = "/peek/x", http.MethodGet, ""
				}
				r := s.send(i, method, path, body, nil, 1500*time.Millisecond)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			})
		}
	})
	return func() []result {
		close(done)
		wg.Wait()
		requests.Wait()
		return results
	}
}
