package steplog

import (
	"fmt"
	"image/color"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Print writes a table of the late steps, followed by the mean of each part of the
// step time, for the late steps and for all steps. A step is late if it took at
// least due; with 0, all steps are.
func Print(w io.Writer, steps []Step, due time.Duration) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "at\tmodel\tstep\titems\thalf placed\twaited\tcut\tran\tlisted\tclosed\ttotal\tagain\tmoved\tslow\theld\tshare\theld by\ttakeovers\tunwritten\t")
	var late []Step
	for _, step := range steps {
		if step.Total() < due {
			continue
		}
		late = append(late, step)
		fmt.Fprintf(writer, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%.2f\t%s\t%s\t%d\t%d\t\n", step.Accepted.Format("15:04:05.0"), step.Model,
			step.Number, step.Items, step.HalfPlaced.Seconds(), step.Waited.Seconds(), step.Interrupted.Seconds(), step.Ran.Seconds(),
			step.Listed.Seconds(), step.Closed.Seconds(), step.Total().Seconds(), step.RepeatedPlacements, step.Moved, step.SlowPlaced, step.Held.Seconds(), heldShare(&step), heldBy(&step),
			step.Takeovers, step.Unwritten)
	}
	printMean(writer, "late", late)
	printMean(writer, "all", steps)
	return eris.Wrap(writer.Flush(), "print steps")
}

// heldShare returns the share of the slots at which a step was held, or a dash if it wasn't.
func heldShare(step *Step) string {
	if step.Held == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", step.HeldShare)
}

// heldBy returns the model that had most slots while a step was held and its runs, or a dash.
func heldBy(step *Step) string {
	if step.HeldBy == "" {
		return "-"
	}
	return fmt.Sprintf("%s:%d", step.HeldBy, step.HeldByRunning)
}

func printMean(w io.Writer, name string, steps []Step) {
	if len(steps) == 0 {
		return
	}
	mean := func(duration func(*Step) time.Duration) float64 {
		var sum time.Duration
		for i := range steps {
			sum += duration(&steps[i])
		}
		return sum.Seconds() / float64(len(steps))
	}
	fmt.Fprintf(w, "mean of %s\t\t\t%d steps\t", name, len(steps))
	fmt.Fprintf(w, "%.2f\t", mean(func(s *Step) time.Duration { return s.HalfPlaced }))
	for _, phase := range phases {
		fmt.Fprintf(w, "%.2f\t", mean(phase.duration))
	}
	fmt.Fprintf(w, "%.2f\t\t\t\t%.2f\t\t\t\t\t\n", mean((*Step).Total), mean(func(s *Step) time.Duration { return s.Held }))
}

// phase is a part of a step's time.
type phase struct {
	name     string
	duration func(*Step) time.Duration
	color    color.Color
}

var phases = []phase{
	{"waited", func(s *Step) time.Duration { return s.Waited }, color.RGBA{R: 214, G: 120, B: 60, A: 255}},
	{"cut", func(s *Step) time.Duration { return s.Interrupted }, color.RGBA{R: 190, G: 60, B: 60, A: 255}},
	{"ran", func(s *Step) time.Duration { return s.Ran }, color.RGBA{R: 90, G: 140, B: 190, A: 255}},
	{"listed", func(s *Step) time.Duration { return s.Listed }, color.RGBA{R: 120, G: 100, B: 160, A: 255}},
	{"closed", func(s *Step) time.Duration { return s.Closed }, color.RGBA{R: 150, G: 150, B: 150, A: 255}},
}

// barWidth is the width of a step's bar in points.
const barWidth = 6

// Plot draws the steps as stacked bars of their phases into a file; the file name's
// extension sets the format (svg, png, pdf).
func Plot(file string, steps []Step) error {
	drawing := plot.New()
	drawing.Title.Text = "Step time by part"
	drawing.X.Label.Text = "step, in order of acceptance"
	drawing.Y.Label.Text = "seconds"
	var below *plotter.BarChart
	for _, phase := range phases {
		values := make(plotter.Values, len(steps))
		for i := range steps {
			values[i] = phase.duration(&steps[i]).Seconds()
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return eris.Wrap(err, "plot steps")
		}
		bars.Color = phase.color
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		drawing.Add(bars)
		drawing.Legend.Add(phase.name, bars)
	}
	width := vg.Points(float64(max(300, 2*barWidth*len(steps))))
	return eris.Wrap(drawing.Save(width, 10*vg.Centimeter, file), "plot "+file)
}

// Late returns the steps that took at least due.
func Late(steps []Step, due time.Duration) []Step {
	return slices.DeleteFunc(slices.Clone(steps), func(step Step) bool { return step.Total() < due })
}
