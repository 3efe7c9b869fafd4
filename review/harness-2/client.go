//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

// Client sends requests to the fronts of the processes.
type Client struct {
	cell *Cell
	http *http.Client
}

// NewClient returns a client.
func NewClient(c *Cell) *Client {
	return &Client{cell: c, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// clientDeadline is how long a client waits for an answer.
const clientDeadline = "3000"

func (k *Client) call(p *Proc, method, path string, body any) (status int, answer []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err) // the types can be encoded
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+p.front+path, reader)
	if err != nil {
		panic(err) // the address is well formed
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", clientDeadline)
	response, err := k.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

func (k *Client) anyProc() *Proc { return k.cell.Procs[rand.Intn(len(k.cell.Procs))] }

// NewJob returns a job that the judge knows.
func (k *Client) NewJob(steps ...Step) *Job {
	j := &Job{ID: fmt.Sprintf("%016x", rand.Uint64()), Path: queuePath, Steps: steps}
	k.cell.Judge.Expect(j)
	return j
}

// Submit hands a job in, with up to four more attempts at any process, and reports whether it was accepted.
func (k *Client) Submit(j *Job) bool {
	body := j.wire()
	for range 5 {
		p := k.anyProc()
		status, _ := k.call(p, http.MethodPost, j.Path+j.ID, body)
		k.cell.Rec.Limited("submissions", "POST %s to %s -> %d", j.ID, p.name, status)
		if status/100 == 2 {
			j.Accepted = k.cell.Rec.Now()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// State asks any process for the state of a job; empty if there was no valid answer.
func (k *Client) State(j *Job) string {
	p := k.anyProc()
	status, answer := k.call(p, http.MethodGet, j.Path+j.ID, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(answer, &body) // an answer that can't be read says nothing
	}
	if status == http.StatusGone {
		body.State = "gone"
	}
	if body.State != j.Shown || status != http.StatusOK {
		k.cell.Rec.Limited("states", "GET %s at %s -> %d %s", j.ID, p.name, status, body.State)
		j.Shown = body.State
	}
	return body.State
}

// Cancel cancels a job at any process.
func (k *Client) Cancel(j *Job) {
	p := k.anyProc()
	j.Cancel = true
	status, _ := k.call(p, http.MethodDelete, j.Path+j.ID, nil)
	k.cell.Rec.Limited("cancellations", "DELETE %s at %s -> %d", j.ID, p.name, status)
	if status/100 == 2 && j.Cancelled == 0 {
		j.Cancelled = k.cell.Rec.Now()
	}
}

// Pending asks a process for the number of accepted jobs that have not begun; ok is false if it gives none.
func (k *Client) Pending(p *Proc) (count int, ok bool) {
	status, answer := k.call(p, http.MethodGet, queuePath, nil)
	var body struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil || body.Pending == nil {
		return 0, false
	}
	return *body.Pending, true
}
