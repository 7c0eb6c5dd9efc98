/** A client: one attempt on a connection of its own, or on one that it keeps. */
import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';

export const newId = () => randomBytes(8).toString('hex');

/**
 * Sends one attempt.
 * @returns status (0 without one), body, events, and whether the response is complete
 */
export function attempt(
  address,
  { method = 'POST', host, path, headers = {}, body, agent = false, deadlineMs, onEvent },
) {
  const [ip, port] = address.split(':');
  return new Promise((resolve) => {
    const result = { status: 0, headers: {}, text: '', events: [], isComplete: false };
    const settle = () => {
      clearTimeout(timer);
      resolve(result);
    };
    const call = request({
      host: ip,
      port,
      method,
      path,
      agent,
      headers: { Host: host, 'Citronstage-Deadline-Ms': String(deadlineMs), ...headers },
    });
    const timer = setTimeout(() => call.destroy(), deadlineMs);
    call.on('response', (response) => {
      Object.assign(result, { status: response.statusCode, headers: response.headers });
      response.setEncoding('latin1');
      response.on('data', (text) => {
        result.text += text;
        const parts = result.text.split('\n\n');
        const events = parts.slice(result.events.length, -1);
        events.forEach((event) => {
          const id = Number(/^id: (\d+)$/m.exec(event)?.[1]);
          const data = /^data: (.*)$/m.exec(event)?.[1];
          result.events.push({ id, data });
          onEvent?.({ id, data });
        });
      });
      response.on('end', () => Object.assign(result, { isComplete: response.complete }));
      response.on('close', settle);
      response.on('error', () => undefined);
    });
    call.on('error', settle);
    call.end(body);
  });
}

export const keptConnections = (maxSockets) => new Agent({ keepAlive: true, maxSockets });
