/** A daemon under ten targets that send bytes without end must stay within its 128 MB. */
import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { get } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { join } from "node:path";

const DAEMON_MEMORY_KIBIBYTES = 128_000;
/** Options with which the daemon is run; see `deploy/system.toml`. */
const DAEMON_OPTIONS = ["--max-old-space-size=200", "--max-semi-space-size=8"];
const TARGETS = 10;
const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n";
const letters = "x".repeat(16_000);

interface Usage {
    readonly kibibytes: number;
    readonly milliseconds: number;
}

const kinds: readonly {
    readonly name: string;
    readonly path: string;
    readonly start: string;
    readonly repeated: string;
}[] = [
    { name: "heads", path: "plain", start: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500) },
    { name: "plain bodies", path: "plain", start: head, repeated: letters },
    { name: "partial events", path: "stream", start: head, repeated: letters },
];

function writeOn(socket: Socket, text: string): void {
    if (socket.destroyed) {
        return;
    }
    if (socket.write(text)) {
        setImmediate(() => writeOn(socket, text));
    }
    else {
        socket.once("drain", () => writeOn(socket, text));
    }
}

/** Reads a response until it ends or is broken off; returns its text as far as it is short. */
function read(url: string): Promise<string> {
    return new Promise(resolve => {
        let text = "";
        get(url, { agent: false }, response => {
            response.on("data", (chunk: Buffer) => {
                text += text.length < 1_000 ? chunk.toString("latin1") : "";
            });
            response.on("error", () => undefined);
            response.on("close", () => resolve(text));
        }).on("error", () => resolve(text));
    });
}

describe("daemon under ten targets that send bytes without end", () => {
    kinds.forEach(({ name, path, start, repeated }) =>
        it(`stays within its memory (${name})`, async function() {
            this.timeout(60_000);
            const target = createServer(socket => {
                socket.on("error", () => undefined);
                socket.once("data", () => {
                    socket.write(start);
                    writeOn(socket, repeated);
                });
            });
            target.listen(0, "127.0.0.1");
            await once(target, "listening");
            const program = join(__dirname, "relayprocess.js");
            const relay = spawn(process.execPath, [...DAEMON_OPTIONS, program], {
                stdio: ["ignore", "pipe", "inherit"],
            });
            const [line] = await once(relay.stdout, "data") as [Buffer];
            const url = `http://127.0.0.1:${line.toString().trim()}`;
            const targetPort = (target.address() as AddressInfo).port;
            const startedAt = performance.now();
            await Promise.all(Array.from({ length: TARGETS }, () => read(`${url}/${path}/${targetPort}`)));
            const elapsed = Math.round(performance.now() - startedAt);
            const usage = JSON.parse(await read(`${url}/usage`)) as Usage;
            relay.kill("SIGKILL");
            target.close();
            if (process.env["SHOW_USAGE"] !== undefined) {
                process.stderr.write(`${name}: ${JSON.stringify({ ...usage, elapsed })}\n`);
            }
            expect(usage.kibibytes).to.be.below(DAEMON_MEMORY_KIBIBYTES);
        })
    );
});
