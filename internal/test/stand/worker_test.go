package stand_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/plat/task"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

const lease = time.Minute

// Guards against a worker that runs a task past its lease or its stop, starts a
// known task again, or loses progress at a checkpoint.
func TestWorkerContract(t *testing.T) {
	cases := map[string]func(t *testing.T, w chestnutpond.Worker, s *stand.Worker){
		"completes with its result": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "20ms", "result": "r1"}`)))
			assertEnds(t, w, chestnutpond.TaskStatus{Phase: chestnutpond.TaskCompleted, Result: "r1", Reason: "done"})
			run := s.Runs()[0]
			assert.Equal(t, run.Kind, "forecast")
			assert.Equal(t, run.Members, 2)
			assert.DeepEqual(t, run.Accelerators, []int{0, 1})
			assert.Assert(t, run.End.Sub(run.Start) >= 20*time.Millisecond)
		},
		"empty payload runs 1 s": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			assert.NilError(t, w.Start(limited(t), spec("")))
			assertEnds(t, w, chestnutpond.TaskStatus{Phase: chestnutpond.TaskCompleted, Reason: "done"})
			assert.Equal(t, time.Duration(s.Runs()[0].Progress), time.Second)
		},
		"fails": func(t *testing.T, w chestnutpond.Worker, _ *stand.Worker) {
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1ms", "fail": true, "result": "r"}`)))
			assertEnds(t, w, chestnutpond.TaskStatus{Phase: chestnutpond.TaskFailed, Reason: "failed"})
		},
		"fails everything": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			s.SetFaults(stand.WorkerFaults{FailAll: true})
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1h"}`)))
			assertEnds(t, w, chestnutpond.TaskStatus{Phase: chestnutpond.TaskFailed, Reason: "failed"})
		},
		"lease lapses": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			short := spec(`{"run": "1h"}`)
			short.Lease = 50 * time.Millisecond
			assert.NilError(t, w.Start(limited(t), short))
			assertEnds(t, w, chestnutpond.TaskStatus{Phase: chestnutpond.TaskStopped, Reason: "lease"})
			assert.Assert(t, s.Runs()[0].End.Sub(s.Runs()[0].Start) >= short.Lease)
			assertGone(t, w.Renew(limited(t), short.ID, lease))
		},
		"renewal extends the lease": func(t *testing.T, w chestnutpond.Worker, _ *stand.Worker) {
			short := spec(`{"run": "2200ms"}`)
			short.Lease = 2 * time.Second
			assert.NilError(t, w.Start(limited(t), short))
			assert.NilError(t, w.Renew(limited(t), short.ID, lease))
			assertEnds(t, w, chestnutpond.TaskStatus{Phase: chestnutpond.TaskCompleted, Reason: "done"})
		},
		"renewed lease lapses": func(t *testing.T, w chestnutpond.Worker, _ *stand.Worker) {
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1h"}`)))
			assert.NilError(t, w.Renew(limited(t), "j.1.0", 50*time.Millisecond))
			assertEnds(t, w, chestnutpond.TaskStatus{Phase: chestnutpond.TaskStopped, Reason: "lease"})
		},
		"second start changes nothing": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1h"}`)))
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1ms"}`)))
			assert.Equal(t, len(s.Runs()), 1)
			assert.Equal(t, s.Runs()[0].Phase, chestnutpond.TaskRunning)
		},
		"stop ends a run and leaves the list": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1h"}`)))
			assert.NilError(t, w.Stop(limited(t), spec("").ID))
			assert.NilError(t, w.Stop(limited(t), spec("").ID))
			list, err := w.Tasks(limited(t))
			assert.NilError(t, err)
			assert.Equal(t, len(list), 0)
			assert.Equal(t, s.Runs()[0].Reason, "stop")
		},
		"unknown task": func(t *testing.T, w chestnutpond.Worker, _ *stand.Worker) {
			assertGone(t, w.Renew(limited(t), "j.1.0", lease))
			assertGone(t, w.Throttle(limited(t), "j.1.0", 0.5))
			_, err := w.Checkpoint(limited(t), "j.1.0")
			assertGone(t, err)
			assert.NilError(t, w.Stop(limited(t), "j.1.0"))
		},
		"resumes from a checkpoint": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			s.SetFaults(stand.WorkerFaults{CheckpointTime: stand.Duration(20 * time.Millisecond)})
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1h"}`)))
			until(t, "progress", func() bool { return s.Runs()[0].Progress > 0 })
			name, err := w.Checkpoint(limited(t), "j.1.0")
			assert.NilError(t, err)
			assert.NilError(t, w.Stop(limited(t), "j.1.0"))
			resumed := spec(`{"run": "1h"}`)
			resumed.ID, resumed.Checkpoint = "j.2.0", name
			assert.NilError(t, w.Start(limited(t), resumed))
			assert.Assert(t, s.Runs()[1].Progress > 0)
		},
		"checkpoint of a task that stops meanwhile": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			s.SetFaults(stand.WorkerFaults{CheckpointTime: stand.Duration(300 * time.Millisecond)})
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "100ms"}`)))
			_, err := w.Checkpoint(limited(t), "j.1.0")
			assertGone(t, err)
		},
		"throttle stops progress": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1h"}`)))
			assert.NilError(t, w.Throttle(limited(t), "j.1.0", 0))
			before := s.Runs()[0].Progress
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, s.Runs()[0].Progress, before)
			assert.ErrorContains(t, w.Throttle(limited(t), "j.1.0", 2), "")
		},
		"down": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			s.SetFaults(stand.WorkerFaults{Down: true})
			err := w.Renew(limited(t), "j.1.0", lease)
			var gone *chestnutpond.TaskGoneError
			assert.Assert(t, err != nil && !errors.As(err, &gone), "%v", err)
			_, err = w.Tasks(limited(t))
			assert.Assert(t, err != nil)
		},
		"malformed payload": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			assert.Assert(t, w.Start(limited(t), spec(`{"run": 5}`)) != nil)
			assert.Equal(t, len(s.Runs()), 0)
		},
		"usage lags": func(t *testing.T, w chestnutpond.Worker, s *stand.Worker) {
			assert.NilError(t, w.Start(limited(t), spec(`{"run": "1h"}`)))
			s.SetFaults(stand.WorkerFaults{UsageLag: stand.Duration(time.Hour)})
			assert.Equal(t, len(s.Usage()), 0)
			s.SetFaults(stand.WorkerFaults{})
			assert.DeepEqual(t, s.Usage(), []stand.Usage{{Task: "j.1.0", Share: 1}})
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			bothForms(t, func(t *testing.T) {
				s := stand.NewWorker("w")
				run(t, s, s)
			}, func(t *testing.T) {
				s := stand.NewWorker("w")
				client := task.New(task.Config{Address: listen(t, s.Handler())})
				defer client.Close()
				run(t, client, s)
			})
		})
	}
}

// Guards against a client that takes a damaged list for an empty one, which
// would let an agent free accelerators that are in use.
func TestWorkerClientAnswers(t *testing.T) {
	cases := map[string]string{
		"cut body":      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"tasks\": []}",
		"no length":     "HTTP/1.1 200 OK\r\n\r\n{\"tasks\": []}",
		"no tasks":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"unknown state": "HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n{\"tasks\": [{\"id\": \"a\", \"state\": \"paused\"}]}",
		"no answer":     "",
		"unavailable":   "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			client := task.New(task.Config{Address: listen(t, rawAnswer(answer))})
			defer client.Close()
			_, err := client.Tasks(limited(t))
			assert.Assert(t, err != nil)
			_, err = client.Checkpoint(limited(t), "j.1.0")
			assert.Assert(t, err != nil)
		})
	}
	t.Run("context bounds a call", func(t *testing.T) {
		s := stand.NewWorker("w")
		s.SetFaults(stand.WorkerFaults{Delay: stand.Duration(time.Hour)})
		client := task.New(task.Config{Address: listen(t, s.Handler()), Timeout: 50 * time.Millisecond})
		defer client.Close()
		assert.ErrorIs(t, client.Start(limited(t), spec("")), context.DeadlineExceeded)
	})
}

func spec(payload string) chestnutpond.TaskSpec {
	return chestnutpond.TaskSpec{
		ID: "j.1.0", Kind: "forecast", Accelerators: []int{0, 1}, Payload: []byte(payload), Lease: lease, Members: 2,
	}
}

func assertEnds(t *testing.T, w chestnutpond.Worker, want chestnutpond.TaskStatus) {
	t.Helper()
	want.ID = "j.1.0"
	var got chestnutpond.TaskStatus
	until(t, "end of the task", func() bool {
		list, err := w.Tasks(limited(t))
		assert.NilError(t, err)
		assert.Equal(t, len(list), 1)
		got = list[0]
		return got.Phase != chestnutpond.TaskRunning
	})
	assert.Equal(t, got, want)
}

func assertGone(t *testing.T, err error) {
	t.Helper()
	var gone *chestnutpond.TaskGoneError
	assert.Assert(t, errors.As(err, &gone), "%v", err)
}
