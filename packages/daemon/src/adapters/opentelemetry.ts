/** OpenTelemetry tracing, exported over OTLP if a receiver is configured. */
import {
    type Context,
    defaultTextMapGetter,
    defaultTextMapSetter,
    ROOT_CONTEXT,
    SpanStatusCode,
    trace,
} from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import { BasicTracerProvider, BatchSpanProcessor, type SpanProcessor } from "@opentelemetry/sdk-trace-base";
import type { Span, Tracer } from "../ports/tracer.js";

/** Options of the tracer. */
export interface OpenTelemetryOptions {
    readonly daemon: string;
    readonly dataCentre: string;
    /** OTLP HTTP receiver. Without one, spans are created to propagate the trace context, but are not exported. */
    readonly url?: string;
    /** Additional processors of ended spans. */
    readonly processors?: readonly SpanProcessor[];
}

/** Tracer whose `close` exports the buffered spans and shuts it down. */
export interface ClosableTracer extends Tracer {
    close(): Promise<void>;
}

const propagator = new W3CTraceContextPropagator();

/** Creates the tracer of a daemon. */
export function createOpenTelemetryTracer(options: OpenTelemetryOptions): ClosableTracer {
    const exporters = options.url === undefined
        ? []
        : [new BatchSpanProcessor(new OTLPTraceExporter({ url: options.url }))];
    const provider = new BasicTracerProvider({
        resource: resourceFromAttributes({
            "service.name": "damaskvaled",
            "service.instance.id": options.daemon,
            "damaskvale.data_centre": options.dataCentre,
        }),
        spanProcessors: [...exporters, ...(options.processors ?? [])],
    });
    const tracer = provider.getTracer("damaskvaled");
    return {
        start: (name, traceparent) => {
            const parent = parentContext(traceparent);
            const span = tracer.startSpan(name, {}, parent);
            return adaptSpan(span, trace.setSpan(parent, span));
        },
        close: () => provider.shutdown(),
    };
}

function parentContext(traceparent: string | undefined): Context {
    return traceparent === undefined
        ? ROOT_CONTEXT
        : propagator.extract(ROOT_CONTEXT, { traceparent }, defaultTextMapGetter);
}

function adaptSpan(
    span: ReturnType<ReturnType<BasicTracerProvider["getTracer"]>["startSpan"]>,
    context: Context,
): Span {
    const carrier: Record<string, string> = {};
    propagator.inject(context, carrier, defaultTextMapSetter);
    return {
        traceparent: carrier["traceparent"] ?? "",
        setAttribute: (name, value) => {
            span.setAttribute(name, value);
        },
        end: error => {
            if (error !== undefined) {
                span.setStatus({ code: SpanStatusCode.ERROR, message: error });
            }
            span.end();
        },
    };
}
