"""Least-squares lines, CSV files and SVG plots."""

import csv

WIDTH, HEIGHT, MARGIN = 480, 300, 56


def fit_line(points):
    """(slope, intercept) of the least-squares line through (x, y)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def print_fit(name, rows, x, y):
    points = [(it[x], it[y]) for it in rows]
    slope, intercept = fit_line(points)
    span = f"{points[0][0]}..{points[-1][0]}"
    print(f"fit_{name}_{y} slope_per_{x}={slope:.6g} "
          f"intercept={intercept:.6g} range={span}", flush=True)


def write_csv(path, rows):
    with open(path, "w", newline="") as file:
        writer = csv.DictWriter(file, rows[0], lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def write_svg(path, title, rows, x, y):
    """Points and their line, both axes from 0."""
    points = [(it[x], it[y]) for it in rows]
    slope, intercept = fit_line(points)
    max_x = max(it for it, _ in points) or 1
    max_y = max(max(it for _, it in points), intercept + slope * max_x) or 1

    def at(px, py):
        return (MARGIN + px / max_x * (WIDTH - 2 * MARGIN),
                HEIGHT - MARGIN - max(py, 0) / max_y * (HEIGHT - 2 * MARGIN))

    def text(px, py, label, anchor="middle"):
        return (f'<text x="{px:.0f}" y="{py:.0f}" font-size="12" '
                f'font-family="sans-serif" text-anchor="{anchor}">'
                f'{label}</text>')

    left, bottom = at(0, 0)
    right, top = at(max_x, max_y)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<path d="M{left:.0f} {top:.0f}V{bottom:.0f}H{right:.0f}" '
        'fill="none" stroke="black"/>',
        text(WIDTH / 2, 20, title), text(WIDTH / 2, HEIGHT - 12, x),
        text(left, bottom + 16, 0), text(right, bottom + 16, f"{max_x:g}"),
        text(left - 4, top + 4, f"{max_y:.4g}", "end")]
    x1, y1 = at(0, intercept)
    x2, y2 = at(max_x, intercept + slope * max_x)
    parts.append(f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" '
                 f'y2="{y2:.1f}" stroke="gray" stroke-dasharray="4"/>')
    for point in points:
        cx, cy = at(*point)
        parts.append(f'<circle cx="{cx:.1f}" cy="{cy:.1f}" r="4"/>')
    with open(path, "w") as file:
        file.write("\n".join(parts + ["</svg>"]) + "\n")
