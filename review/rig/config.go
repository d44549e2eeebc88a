package rig

// Config returns the configuration of one scheduler, without operations.
func Config(listen string, d *Discovery) map[string]any {
	return map[string]any{
		"name": "n0", "listen": listen, "discovery": d.Addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known":  d.List(),
		"settings": map[string]any{
			"Discovery": "ask", "PeersTotal": 1, "MyNumber": 0, "Dcs": []string{"site-a"}, "Kinds": []string{"m"},
			"Operations": []any{},
			"FamilyInfo": map[string]any{"ReportX0": "free slots"},
			"Report":     map[string]any{"How": "probe", "Names": []string{"x0"}},
			"Limits": map[string]any{"Probes": true, "Cancel": true, "SecondCopies": true, "RetryAfter": true, "MaxRetryAfter": 2,
				"MostForwards": 4, "ConnectTimeout": 0.25, "ConnIdle": 5},
			"Rules": map[string]any{"AskWithin": 10, "StopSendingWithin": 0.5},
		},
	}
}

// Settings returns the settings of a configuration.
func Settings(config map[string]any) map[string]any { return config["settings"].(map[string]any) }
