import { InMemorySpanExporter, SimpleSpanProcessor } from "@opentelemetry/sdk-trace-base";
import { expect } from "chai";
import { createOpenTelemetryTracer } from "../opentelemetry.js";

const TRACE = "0af7651916cd43dd8448eb211c80319c";

describe("tracer", () => {
    it("continues the trace of the caller and propagates it with the new span as parent", async () => {
        const exporter = new InMemorySpanExporter();
        const tracer = createOpenTelemetryTracer({
            daemon: "d",
            dataCentre: "c",
            processors: [new SimpleSpanProcessor(exporter)],
        });

        const span = tracer.start("front", `00-${TRACE}-b7ad6b7169203331-01`);
        const child = tracer.start("attempt", span.traceparent);
        child.end();
        span.end();

        const [childSpan, frontSpan] = exporter.getFinishedSpans();
        expect(frontSpan?.spanContext().traceId).to.equal(TRACE);
        expect(childSpan?.parentSpanContext?.spanId).to.equal(frontSpan?.spanContext().spanId);
        await tracer.close();
    });

    it("starts a new trace when the caller's header is malformed", async () => {
        const tracer = createOpenTelemetryTracer({ daemon: "d", dataCentre: "c" });
        expect(tracer.start("front", "nonsense").traceparent).to.match(/^00-[0-9a-f]{32}-[0-9a-f]{16}-01$/);
        await tracer.close();
    });
});
