/**
 * Renders the service level report as a self-contained HTML page without scripts: tables, and plots in SVG.
 */

import type { RequestLog } from "./requestLog.js";
import type {
    GroupIndicators,
    Indicators,
    ServiceLevels,
    ServiceLevelTarget,
    WindowIndicators,
} from "./serviceLevels.js";

/** A line of a plot. */
interface Series {
    readonly label: string;
    readonly colour: string;
    readonly valueOf: (window: WindowIndicators) => number | undefined;
}

const plotWidth = 760;
const plotHeight = 180;
const plotMargin = 44;
const msPerSecond = 1_000;

const style = "body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse;margin:1em 0}"
    + "td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child"
    + "{text-align:left}svg{background:#fafafa}.bad{color:#b00}";

const entities: Readonly<Record<string, string>> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", "\"": "&quot;" };

function escapeHtml(text: string): string {
    return text.replace(/[&<>"]/gu, character => entities[character] ?? character);
}

function percent(part: number, whole: number): string {
    return whole === 0 ? "-" : `${(100 * part / whole).toFixed(1)}%`;
}

function formatMilliseconds(value: number | undefined): string {
    return value === undefined ? "-" : `${Math.round(value)} ms`;
}

function plot(
    title: string,
    windows: readonly WindowIndicators[],
    windowMs: number,
    series: readonly Series[],
): string {
    const startMs = windows[0]?.startMs ?? 0;
    const spanMs = Math.max(windowMs, (windows.at(-1)?.startMs ?? startMs) - startMs);
    const values = windows.flatMap(window => series.map(each => each.valueOf(window) ?? 0));
    const maxValue = Math.max(...values, Number.MIN_VALUE);
    const x = (atMs: number): number => plotMargin + (atMs - startMs) / spanMs * (plotWidth - 2 * plotMargin);
    const y = (value: number): number => plotHeight - plotMargin / 2 - value / maxValue * (plotHeight - plotMargin);
    const seriesMarkup = series.map(({ label, colour, valueOf }, index) => {
        const points = windows.flatMap(window => {
            const value = valueOf(window);
            return value === undefined ? [] : [`${x(window.startMs).toFixed(1)},${y(value).toFixed(1)}`];
        });
        const legendX = plotMargin + index * 160;
        return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${points.join(" ")}"/>`
            + `<text x="${legendX}" y="12" fill="${colour}">${escapeHtml(label)}</text>`;
    });
    const axis =
        `<text x="2" y="${y(maxValue) + 4}">${maxValue >= 10 ? Math.round(maxValue) : maxValue.toFixed(2)}</text>`
        + `<text x="2" y="${y(0)}">0</text>`
        + `<text x="${plotWidth - 2 * plotMargin}" y="${plotHeight - 4}">${(spanMs / msPerSecond).toFixed(0)} s</text>`;
    return `<h2>${escapeHtml(title)}</h2><svg width="${plotWidth}" height="${plotHeight}" `
        + `viewBox="0 0 ${plotWidth} ${plotHeight}" font-size="11">${axis}${seriesMarkup.join("")}</svg>`;
}

function row(name: string, indicators: Indicators): string {
    const { eligible, good, late, refused, failed, overRate, burnRate, p50Ms, p99Ms } = indicators;
    const cells = [
        escapeHtml(name),
        String(eligible),
        percent(good, eligible),
        percent(late, eligible),
        percent(refused, eligible),
        percent(failed, eligible),
        String(overRate),
        formatMilliseconds(p50Ms),
        formatMilliseconds(p99Ms),
    ];
    const burnCell = `<td${burnRate > 1 ? " class=\"bad\"" : ""}>${burnRate.toFixed(2)}</td>`;
    return `<tr>${cells.map(cell => `<td>${cell}</td>`).join("")}${burnCell}</tr>`;
}

function table(title: string, firstHeading: string, rows: readonly GroupIndicators[]): string {
    const headings = [firstHeading, "owed", "good", "late", "refused", "failed", "over rate", "p50", "p99", "burn"];
    return `<h2>${escapeHtml(title)}</h2><table><tr>${headings.map(text => `<th>${text}</th>`).join("")}</tr>`
        + `${rows.map(({ name, ...indicators }) => row(name, indicators)).join("")}</table>`;
}

/** Renders the page; it also states how many log lines were dropped or could not be parsed. */
export function renderReport(levels: ServiceLevels, log: RequestLog, target: ServiceLevelTarget): string {
    const { windows, overall, byAccount, byRoute } = levels;
    const { windowMs, goodFraction } = target;
    const omissions = log.linesLeftOut + log.linesUnreadable === 0
        ? ""
        : `<p class="bad">Not in these figures: ${log.linesLeftOut} lines that the entries left out, `
            + `${log.linesUnreadable} that can't be read.</p>`;
    const fractionOf =
        (count: (window: WindowIndicators) => number) => (window: WindowIndicators): number | undefined =>
            window.eligible === 0 ? undefined : count(window) / window.eligible;
    return [
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service levels</title>",
        `<style>${style}</style></head><body><h1>Service levels</h1>`,
        `<p>Target: ${
            (100 * goodFraction).toFixed(1)
        }% of the requests owed succeed and begin within their objective. `,
        "Burn 1 just uses up what the target allows.</p>",
        omissions,
        table("All requests", "", [{ name: "all", ...overall }]),
        plot(`Burn by ${windowMs / msPerSecond} s`, windows, windowMs, [
            { label: "burn", colour: "#b00", valueOf: ({ burnRate }) => burnRate },
        ]),
        plot("Time to the first byte, ms", windows, windowMs, [
            { label: "p50", colour: "#06c", valueOf: ({ p50Ms }) => p50Ms },
            { label: "p99", colour: "#c60", valueOf: ({ p99Ms }) => p99Ms },
        ]),
        plot("Part of the requests owed", windows, windowMs, [
            { label: "refused", colour: "#c60", valueOf: fractionOf(({ refused }) => refused) },
            { label: "failed", colour: "#b00", valueOf: fractionOf(({ failed }) => failed) },
            { label: "late", colour: "#06c", valueOf: fractionOf(({ late }) => late) },
        ]),
        table("Client accounts, worst served first", "client account", byAccount),
        table("Routes, worst served first", "route", byRoute),
        "</body></html>\n",
    ].join("");
}
