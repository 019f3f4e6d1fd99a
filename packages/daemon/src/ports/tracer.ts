/** Port to tracing: one span for each hop, with W3C trace context. */

/** Span of one hop. */
export interface Span {
    /** Value of the `traceparent` header that names this span as parent. */
    readonly traceparent: string;
    setAttribute(name: string, value: string | number | boolean): void;
    end(error?: string): void;
}

/** Creates spans. */
export interface Tracer {
    /** Starts a span; `traceparent` is the caller's header, if any. */
    start(name: string, traceparent?: string): Span;
}
