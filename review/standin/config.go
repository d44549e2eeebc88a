package standin

// Config returns a configuration like that of a small deployment, with the figures of the site
// farm-game-main where it names any. settings replaces or adds keys of the settings.
func (r *Run) Config(name, listen, admin string, discovery *Discovery, settings map[string]any) map[string]any {
	all := map[string]any{
		"BilledValueBy":     "work",
		"Clients":           map[string]any{"MarksRetry": false},
		"Dcs":               []string{"site-a", "site-b", "site-c"},
		"Discovery":         "ask",
		"ExcessBilledValue": 0.1,
		"Family":            "jobs",
		"FamilyInfo": map[string]any{
			"ClassKind": []int{-1}, "ClassPriority": []int{0}, "ClassStretch": []float64{2},
			"Progress": 2.0, "QueueOrder": "fifo", "ReportX0": "free slots", "ReportX1": "free memory", "TellsStart": true,
		},
		"Kinds": []string{"fast", "standard", "slow"},
		"Limits": map[string]any{
			"Cancel": true, "ConnIdle": 5.0, "ConnectTimeout": 0.25, "CpuUsPerRequest": 0.0, "CpuUsPerS": 50000,
			"MaxRetryAfter": 2.0, "MaxStreams": 1, "MostForwards": 4, "OpenCap": 20000, "Peers": false,
			"Probes": true, "RetryAfter": true, "SecondCopies": true,
		},
		"MyNumber": 0, "MyZone": 0, "PeersTotal": 1,
		"Prices": map[string]any{"CrossZone": 0.02, "LateFail": 0.08, "Probe": 0.0025, "Waste": 0.041},
		"Report": map[string]any{"How": "probe", "Names": []string{"waiting", "avg_ms", "x0"}},
		"ResultMix": map[string]any{
			"Whole": 0.35, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.45,
		},
		"Rules": map[string]any{
			"AnswerSlack": 0.008, "AskWithin": 10.0, "ColdFrom": 0.13, "Fall": 1.0, "FallMultiple": 2.5,
			"StopSendingWithin": 0.5, "WarmAfter": 23.0,
		},
		"Tenants": []any{}, "Tick": 0.002, "Tier": 0, "Tiers": []string{"game-servers"}, "WeightKind": "rough",
	}
	for key, value := range settings {
		all[key] = value
	}
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery.Address, "admin": admin, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    discovery.Known(),
		"settings": all,
	}
}

// Operation returns one entry of the settings' operations.
func Operation(name, effect string, timeout float64, more map[string]any) map[string]any {
	operation := map[string]any{
		"Name": name, "Effect": effect, "BilledValue": 1.0, "LateBilledValue": 0.5, "LatencyObjective": 1.0,
		"ClientTimeout": timeout, "DedupScope": "all", "DedupWindow": 5.0, "Streaming": false,
	}
	for key, value := range more {
		operation[key] = value
	}
	return operation
}

// Target returns a worker's entry in the list.
func (w *Worker) Target(zone, model string, group int) Target {
	return Target{UID: w.UID, Endpoint: w.Address, AZ: zone, Model: model, PodGroup: group, State: "Ready", Hint: 1}
}
