package cfventry

// meter counts the request in the usage of its workspace when it begins to run, once for all attempts. A stream begins
// with its first event, any other request with the head of its response. Requests without a workspace are not counted.
func (q *request) meter() {
	if q.metered || q.workspace == nil || q.entry.cfg.CountRun == nil {
		return
	}
	q.metered = true
	q.entry.cfg.CountRun(q.workspace.Name)
}
