//go:build review

package main

// sapporo are settings like those of kit/sites/kitaboard-sapporo.toml.
func sapporo() settings {
	return settings{
		Nodes: 3, Zones: []string{"sapporo-1", "asahikawa-1", "hakodate-1"}, Teams: []team{{Name: "trade-desk"}}, ReportS: 1, LeaseS: 11, CancelS: 41,
		StateRPS: 80, StateWriteRPS: 30, StateValueKB: 8, StateTxnOps: 24, CloudRPS: 1.5, CloudListLagS: 8, CPU: 0.12, RAMMB: 70, Sockets: 600,
		Objectives: "[[params.objectives]]\nkind = \"finished\"\nclass = \"trade-quote\"\nwithin_s = 80.0\nshare = 0.95\n\n",
	}
}
