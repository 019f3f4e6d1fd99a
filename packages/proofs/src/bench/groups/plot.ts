/** Command that plots the stored results of the groups benchmark as an SVG file in docs/. */
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { TopLevelSpec } from "vega-lite";
import type { BenchFigure } from "../types.js";

const ROOT = join(__dirname, "..", "..", "..", "..", "..");
const SOURCE = join(ROOT, "bench", "results", "groups.json");
const TARGET = join(ROOT, "docs", "groups-tradeoff.svg");

async function drawPlot(): Promise<void> {
    // Both packages are available as ES modules only.
    const [vega, vegaLite] = await Promise.all([import("vega"), import("vega-lite")]);
    const { figures } = JSON.parse(readFileSync(SOURCE, "utf8")) as { figures: readonly BenchFigure[]; };
    const { spec } = vegaLite.compile(createSpec(createPoints(figures)));
    const view = new vega.View(vega.parse(spec), { renderer: "none" });
    writeFileSync(TARGET, `${await view.toSVG()}\n`);
}

function createPoints(figures: readonly BenchFigure[]): Record<string, string | number>[] {
    const keys = [...new Set(figures.map(({ scenario, subject }) => JSON.stringify([scenario, subject])))];
    return keys.map(key => {
        const [scenario, subject] = JSON.parse(key) as [string, string];
        const value = (measure: string) =>
            figures.find(figure =>
                figure.scenario === scenario && figure.subject === subject && figure.measure === measure
            )?.value ?? 0;
        return { scenario, subject, down: value("group downtime"), stranded: value("stranded accelerators") };
    });
}

function createSpec(points: Record<string, string | number>[]): TopLevelSpec {
    const axis = (field: string, title: string) =>
        ({ field, type: "quantitative", title, scale: { type: "log" } }) as const;
    return {
        $schema: "https://vega.github.io/schema/vega-lite/v6.json",
        data: { values: points },
        facet: { field: "scenario", type: "nominal", title: "Mean of ten days, 1,197 hosts" },
        columns: 2,
        resolve: { scale: { x: "independent", y: "independent" } },
        spec: {
            width: 320,
            height: 220,
            layer: [
                {
                    mark: { type: "point", size: 90, filled: true },
                    encoding: {
                        x: axis("stranded", "stranded accelerators (accelerator hours a day)"),
                        y: axis("down", "group downtime (replica hours a day)"),
                        color: { field: "subject", type: "nominal", title: "planner" },
                        shape: { field: "subject", type: "nominal", title: "planner" },
                    },
                },
            ],
        },
    };
}

drawPlot().catch((error: unknown) => {
    console.error(error);
    process.exitCode = 1;
});
