package burn

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const notMeasured = "not measured"

// WriteText writes the report as a plain-text table.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "windows end at %s; rate 1 uses the error budget up exactly\n", r.At.Format(time.RFC3339))
	fmt.Fprintln(tw, "SERVICE\tOBJECTIVE\tWINDOW\tBURN\tTOTAL\tNOT WHOLE\tLATE\tMINUTES\tPARTIAL\tMISSING\tALARM")
	for _, service := range r.Services {
		objective := fmt.Sprintf("%v%% in %v", service.Objective.Percent, service.Objective.Latency)
		for _, window := range service.Windows {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
				service.Objective.Service, objective, window.Name(), window.RateText(),
				window.Total, window.Total-window.Complete, window.Complete-window.Good,
				window.Measured, window.Partial, window.Missing, service.Alarm)
		}
	}
	if r.UnreadableObjects > 0 {
		fmt.Fprintf(tw, "%d objects could not be read; their counts are missing\n", r.UnreadableObjects)
	}
	return tw.Flush()
}

// Name returns the length of the window in days, hours or minutes, as in "6h".
func (w Window) Name() string {
	switch {
	case w.Length >= 24*time.Hour:
		return fmt.Sprintf("%dd", w.Length/(24*time.Hour))
	case w.Length >= time.Hour:
		return fmt.Sprintf("%dh", w.Length/time.Hour)
	default:
		return fmt.Sprintf("%dm", w.Length/time.Minute)
	}
}

// RateText returns the burn rate with two decimals, or the reason why there is
// none.
func (w Window) RateText() string {
	if w.Rate != nil {
		return strconv.FormatFloat(*w.Rate, 'f', 2, 64)
	}
	if w.Measured+w.Partial > 0 {
		return "no requests"
	}
	return notMeasured
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

var (
	lineColor    = color.RGBA{R: 0x1f, G: 0x4e, B: 0x9c, A: 0xff}
	limitColor   = color.RGBA{R: 0xc0, A: 0xff}
	missingColor = color.RGBA{R: 0xdd, G: 0xdd, B: 0xdd, A: 0xff}
)

// WritePNG plots the service's burn rate over one hour for all points of the
// report. Times with missing or partial minutes are grey.
func (s ServiceReport) WritePNG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = s.Objective.Service + ": burn rate over one hour"
	p.X.Tick.Marker = plot.TimeTicks{Format: "02 Jan 15:04"}
	p.Y.Min = 0
	highest := s.highestRate()
	p.Y.Max = highest
	if err := s.addMissing(p, highest); err != nil {
		return err
	}
	for _, segment := range s.segments() {
		line, err := plotter.NewLine(segment)
		if err != nil {
			return fmt.Errorf("burn: plot: %w", err)
		}
		line.Color = lineColor
		p.Add(line)
	}
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Color = limitColor
	p.Add(limit)
	to, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return fmt.Errorf("burn: plot: %w", err)
	}
	if _, err := to.WriteTo(w); err != nil {
		return fmt.Errorf("burn: write plot: %w", err)
	}
	return nil
}

// highestRate returns the upper bound of the plot's Y axis.
func (s ServiceReport) highestRate() float64 {
	highest := 1.2
	for _, point := range s.Points {
		if point.Rate != nil {
			highest = max(highest, *point.Rate*1.1)
		}
	}
	return highest
}

// segments splits the points into separate lines at those without a rate.
func (s ServiceReport) segments() []plotter.XYs {
	var segments []plotter.XYs
	open := false
	for _, point := range s.Points {
		if point.Rate == nil {
			open = false
			continue
		}
		if !open {
			segments = append(segments, nil)
			open = true
		}
		last := len(segments) - 1
		segments[last] = append(segments[last], plotter.XY{X: float64(point.Time.Unix()), Y: *point.Rate})
	}
	return segments
}

// addMissing marks the points with missing or partial minutes on the plot.
func (s ServiceReport) addMissing(p *plot.Plot, highest float64) error {
	half := float64(pointIntervalMinutes*60) / 2
	for _, point := range s.Points {
		if !point.Missing {
			continue
		}
		x := float64(point.Time.Unix())
		area, err := plotter.NewPolygon(plotter.XYs{{X: x - half}, {X: x + half}, {X: x + half, Y: highest}, {X: x - half, Y: highest}})
		if err != nil {
			return fmt.Errorf("burn: plot: %w", err)
		}
		area.Color = missingColor
		area.Width = 0
		p.Add(area)
	}
	return nil
}

var page = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:.2em .8em;text-align:right}th:first-child,td:first-child{text-align:left}.page{color:#c00}.ticket{color:#a60}</style>
</head><body><h1>Service-level burn</h1>
<p>All windows end at {{.At}}. At a burn rate of 1 the error budget is used up exactly. Grey times were not measured completely.</p>
{{if .Unreadable}}<p>{{.Unreadable}} objects could not be read; their counts are missing.</p>{{end}}
{{range .Services}}<h2>{{.Report.Objective.Service}}{{with .Report.Alarm}} <span class="{{.}}">{{.}}</span>{{end}}</h2>
<p>Objective: {{.Report.Objective.Percent}}% whole within {{.Report.Objective.Latency}}</p>
<table><tr><th>window</th><th>burn rate</th><th>requests</th><th>not whole</th><th>late</th><th>minutes measured</th><th>partial</th><th>missing</th></tr>
{{range .Rows}}<tr><td>{{.Window.Name}}</td><td>{{.Window.RateText}}</td><td>{{.Window.Total}}</td><td>{{.NotWhole}}</td><td>{{.Late}}</td><td>{{.Window.Measured}}</td><td>{{.Window.Partial}}</td><td>{{.Window.Missing}}</td></tr>
{{end}}</table><img alt="burn rate over time" src="{{.Plot}}">
{{end}}</body></html>
`))

type pageData struct {
	At         string
	Unreadable int
	Services   []pageService
}

type pageService struct {
	Report ServiceReport
	Rows   []pageRow
	Plot   template.URL
}

type pageRow struct {
	Window   Window
	NotWhole uint64
	Late     uint64
}

// WriteHTML writes the report as one HTML page with embedded plots.
func (r Report) WriteHTML(w io.Writer) error {
	data := pageData{At: r.At.Format(time.RFC3339), Unreadable: r.UnreadableObjects}
	for _, service := range r.Services {
		var png bytes.Buffer
		if err := service.WritePNG(&png); err != nil {
			return err
		}
		s := pageService{Report: service}
		s.Plot = template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png.Bytes()))
		for _, window := range service.Windows {
			s.Rows = append(s.Rows, pageRow{Window: window, NotWhole: window.Total - window.Complete, Late: window.Complete - window.Good})
		}
		data.Services = append(data.Services, s)
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("burn: write page: %w", err)
	}
	return nil
}
