/** A page with one bar for each second of a day, parted by what became of its requests. */
import { outcomes, type Outcome, type RequestTrace } from './traceRequests.js';
import { tabulateLosses, type LossRow } from './tabulateLosses.js';

const BAR_WIDTH = 9;
const HEIGHT = 320;
const MARGIN = 40;

const colours: Readonly<Record<Outcome, string>> = {
  inTime: '#9ccc9c',
  late: '#f2c14e',
  refused: '#5b8fd6',
  failed: '#d1495b',
  unfinished: '#8d8d8d',
};

function drawBar(row: LossRow, position: number, scale: number): string {
  let top = HEIGHT;
  return outcomes
    .map((outcome) => {
      const height = row.counts[outcome] * scale;
      top -= height;
      const x = MARGIN + position * BAR_WIDTH;
      const title = `second ${row.group.trim()}: ${row.counts[outcome]} ${outcome}`;
      return `<rect x="${x}" y="${top}" width="${BAR_WIDTH - 1}" height="${height}" fill="${colours[outcome]}"><title>${title}</title></rect>`;
    })
    .join('');
}

function drawLegend(): string {
  return outcomes
    .map((outcome) => `<span style="background:${colours[outcome]}">&nbsp;&nbsp;</span> ${outcome}`)
    .join(' &nbsp; ');
}

export function plotLosses(traces: readonly RequestTrace[]): string {
  const rows = tabulateLosses(traces, 'second');
  const most = Math.max(1, ...rows.map(({ all }) => all));
  const bars = rows.map((row, position) => drawBar(row, position, HEIGHT / most)).join('\n');
  const width = 2 * MARGIN + rows.length * BAR_WIDTH;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Requests by second</title></head>
<body><h1>Requests by the second of their arrival</h1><p>${drawLegend()}</p>
<svg width="${width}" height="${HEIGHT + MARGIN}" role="img" aria-label="Requests by second">
<text x="0" y="12">${most}</text>
${bars}
<text x="${MARGIN}" y="${HEIGHT + 20}">0 s</text>
<text x="${width - MARGIN}" y="${HEIGHT + 20}" text-anchor="end">${rows.length} s</text>
</svg></body></html>
`;
}
