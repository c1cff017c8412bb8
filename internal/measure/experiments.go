package measure

// Experiments returns all experiments in the order of docs/MEASUREMENTS.md.
func Experiments() []Experiment {
	all := []Experiment{
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
	for _, site := range LoadsDeployments() {
		all = append(all, Loads(site))
	}
	return all
}
