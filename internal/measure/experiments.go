package measure

// Experiments returns all experiments in the order of docs/MEASUREMENTS.md.
func Experiments() []Experiment {
	return []Experiment{
		RoutingToday(),
		Routing(),
		Fairness(),
		LimitsToday(),
		Limits(),
		Stragglers(),
		Staleness(),
		Weights(),
		Fleet(),
	}
}
