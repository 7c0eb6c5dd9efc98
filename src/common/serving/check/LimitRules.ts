/** Rules about the limits on callers' requests. */
import type { ServingConfiguration } from '../ServingConfiguration.js';
import { quote } from './Quote.js';
import type { Finding, Rule } from './Types.js';

/** Headers that the HTTP parser of a serving process accepts, in bytes; the same as in `Ingress`. */
const PARSER_HEADER_BYTES = 16_384;

/** Longest method, protocol version, names of the needed headers and line ends, in bytes. */
const REQUEST_FRAME_BYTES = 'DELETE  HTTP/1.1\r\nHost: \r\nAuthorization: Token \r\n\r\n'.length;

/** Largest buffer of Node.js 20, in bytes. The body of a request is held in one. */
const MAX_BUFFER_BYTES = 2 ** 32;

/** Finds limits of headers that are never reached, or that exclude the requests of a route. */
export const findWrongHeaderLimit: Rule = (configuration) => {
  const { headerBytes } = configuration.limits;
  const path = ['limits', 'headerBytes'];
  if (headerBytes > PARSER_HEADER_BYTES) {
    const message = `the limit of ${headerBytes} bytes cannot hold: a serving process reads at most ${PARSER_HEADER_BYTES} bytes of headers`;
    return [{ rule: 'header-limit-too-large', severity: 'warning', path, message }];
  }
  const { bytes, route } = largestHead(configuration);
  if (bytes <= headerBytes) return [];
  const message = `the limit of ${headerBytes} bytes excludes route ${quote(route)}: its prefix, host and API key alone take ${bytes} bytes`;
  return [{ rule: 'header-limit-too-small', severity: 'error', path, message }];
};

/** Finds limits of bodies that a process has no memory for. */
export const findWrongBodyLimit: Rule = ({ limits: { bodyBytes } }, { memoryBytes }) => {
  const path = ['limits', 'bodyBytes'];
  const find = (rule: string, message: string): Finding[] => [
    { rule, severity: 'error', path, message },
  ];
  if (memoryBytes !== undefined && bodyBytes > memoryBytes) {
    const message = `the limit of ${bodyBytes} bytes is above the ${memoryBytes} bytes of memory of a process`;
    return find('body-limit-above-memory', message);
  }
  if (bodyBytes <= MAX_BUFFER_BYTES) return [];
  const message = `the limit of ${bodyBytes} bytes cannot hold: a process buffers at most ${MAX_BUFFER_BYTES} bytes`;
  return find('body-limit-too-large', message);
};

/** @returns size of the largest request head without optional headers, in bytes, and its route */
function largestHead({ routes, accounts = [] }: ServingConfiguration) {
  const keyBytes = accounts.reduce(
    (largest, { apiKeys }) =>
      apiKeys.reduce((inner, key) => Math.max(inner, Buffer.byteLength(key)), largest),
    0,
  );
  let largest = { bytes: 0, route: '' };
  routes.forEach(({ name, host, pathPrefix, isPublic }) => {
    const bytes =
      REQUEST_FRAME_BYTES +
      Buffer.byteLength(pathPrefix) +
      Buffer.byteLength(host) +
      (isPublic ? 0 : keyBytes);
    if (bytes > largest.bytes) largest = { bytes, route: name };
  });
  return largest;
}
