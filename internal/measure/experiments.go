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
		Sharing(),
		SharingLoss(),
		SharingDue(),
		SharingDueLoss(),
	}
	for _, offered := range []float64{2, 5, 10} {
		all = append(all, Overload(offered))
	}
	for _, deployment := range LoadsDeployments() {
		all = append(all, Loads(deployment))
	}
	for _, deployment := range SpeedsDeployments() {
		all = append(all, Speeds(deployment))
	}
	return all
}
