package lowerbound

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
)

// Job is a job that ended. Times are seconds.
type Job struct {
	Class   string
	Arrived float64 // since any fixed time
	Took    float64 // from its acceptance to its end
	Run     float64 // of a task, on average
	Limit   float64 // after its arrival, by which it should have ended; 0: none
	CPUs    float64 // of a task
	Tasks   int
}

// Work is what the job needs, in CPU-seconds.
func (job *Job) Work() float64 { return float64(job.Tasks) * job.CPUs * job.Run }

// The message and the keys of the debug line that the leader of a job logs when it ends.
// Logs are kept for long: if the line changes, lines of this form are to be read still.
const (
	messageEnded = "job ended"
	keyJob       = "job"
	keyClass     = "class"
	keyStage     = "stage"
	keyArrived   = "arrived_s"
	keyTook      = "took_s"
	keyRun       = "run_s"
	keyLimit     = "limit_s"
	keyTasks     = "tasks"
	keyCPUs      = "cpus"

	stageDone = "done"
)

const maxLineBytes = 1 << 20

var (
	endedLine = regexp.MustCompile(`msg="` + messageEnded + `"`)
	field     = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)
)

// Read returns the jobs that were done, by their arrival, of a log written with
// LOG_LEVEL=debug. A job that two leaders logged counts once. The error of a line that can't
// be read names its number, and wraps a *strconv.NumError.
func Read(r io.Reader) ([]Job, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	seen := map[string]bool{}
	var jobs []Job
	for n := 1; scanner.Scan(); n++ {
		if !endedLine.Match(scanner.Bytes()) {
			continue
		}
		values := fieldsOf(scanner.Text())
		if seen[values[keyJob]] || values[keyStage] != stageDone {
			continue
		}
		seen[values[keyJob]] = true
		job, err := parseJob(values)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		jobs = append(jobs, job)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Arrived < jobs[b].Arrived })
	return jobs, nil
}

// fieldsOf returns the values of a log line by key, quoted ones with their quotes.
func fieldsOf(line string) map[string]string {
	values := map[string]string{}
	for _, match := range field.FindAllStringSubmatch(line, -1) {
		values[match[1]] = match[2]
	}
	return values
}

// parseJob reads the fields of a line.
func parseJob(values map[string]string) (Job, error) {
	job := Job{Class: values[keyClass]}
	tasks := 0.0
	var invalid error
	for _, number := range [...]struct {
		key string
		to  *float64
	}{
		{keyArrived, &job.Arrived},
		{keyTook, &job.Took},
		{keyRun, &job.Run},
		{keyLimit, &job.Limit},
		{keyCPUs, &job.CPUs},
		{keyTasks, &tasks},
	} {
		value, err := strconv.ParseFloat(values[number.key], 64)
		if err != nil {
			invalid = fmt.Errorf("%s: %w", number.key, err) // the last one is reported
		}
		*number.to = value
	}
	job.Tasks = int(tasks)
	return job, invalid
}
