package io.cherryspool.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client on the node's event loop, with persistent connections to each address and a deadline
 * for every call. The number of sockets is limited, since a leader calls a thousand workers. At the
 * limit, a new connection replaces the least recently used idle one; if none is idle, the call
 * fails immediately. Must be used on the event loop only.
 */
public final class NettyHttpClient implements Transport {
  private static final int MAX_REPLY_BYTES = 64 << 20;
  private static final int MAX_IDLE_PER_ENDPOINT = 4;
  private static final Duration MAX_CONNECT_TIME = Duration.ofSeconds(2);

  private final NettyEventLoop loop;
  private final int maxSockets;
  private final Map<Endpoint, Deque<Connection>> idleByEndpoint = new HashMap<>();

  /** All idle connections, the least recently used one first. */
  private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();

  private int openSockets;

  /** Creates a client that has at most {@code maxSockets} connections open at a time. */
  public NettyHttpClient(NettyEventLoop loop, int maxSockets) {
    this.loop = loop;
    this.maxSockets = maxSockets;
  }

  @Override
  public CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline) {
    Connection connection = takeIdle(to);
    if (connection == null) {
      if (openSockets >= maxSockets) {
        evictIdle();
      }
      if (openSockets >= maxSockets) {
        return CompletableFuture.failedFuture(
            new IOException("no free socket for a request to " + to));
      }
      connection = new Connection(to);
      connection.connect(deadline);
    }
    return connection.send(request, deadline);
  }

  /** Removes and returns the most recently used idle connection; null if there is none. */
  private Connection takeIdle(Endpoint to) {
    Deque<Connection> candidates = idleByEndpoint.get(to);
    while (candidates != null && !candidates.isEmpty()) {
      Connection candidate = candidates.pollLast();
      idle.remove(candidate);
      if (candidate.channel.isActive()) {
        return candidate;
      }
    }
    return null;
  }

  private void evictIdle() {
    if (!idle.isEmpty()) {
      Connection oldest = idle.iterator().next();
      idle.remove(oldest);
      oldest.channel.close();
    }
  }

  /** An outgoing connection, which carries at most one request at a time. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Endpoint to;
    private ChannelFuture connecting;
    private Channel channel;

    /** Completes with the reply to the current request; null while the connection is idle. */
    private CompletableFuture<Reply> pending;

    private Future<?> deadlineTimer;

    Connection(Endpoint to) {
      this.to = to;
    }

    void connect(Duration deadline) {
      Duration limit = deadline.compareTo(MAX_CONNECT_TIME) < 0 ? deadline : MAX_CONNECT_TIME;
      connecting =
          new Bootstrap()
              .group(loop.group())
              .channelFactory(NioSocketChannel::new)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, limit.toMillis()))
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                      created
                          .pipeline()
                          .addLast(new HttpClientCodec())
                          .addLast(new HttpObjectAggregator(MAX_REPLY_BYTES))
                          .addLast(Connection.this);
                    }
                  })
              .connect(new InetSocketAddress(to.host(), to.port()));
      channel = connecting.channel();
      openSockets++;
      channel.closeFuture().addListener(closed -> openSockets--);
    }

    CompletableFuture<Reply> send(Request request, Duration deadline) {
      CompletableFuture<Reply> result = new CompletableFuture<>();
      pending = result;
      deadlineTimer =
          loop.group()
              .schedule(
                  () -> fail(new IOException("no response from " + to + " within " + deadline)),
                  deadline.toNanos(),
                  TimeUnit.NANOSECONDS);
      connecting.addListener(
          done -> {
            if (!done.isSuccess()) {
              fail(done.cause());
            } else if (pending == result) {
              write(request);
            }
          });
      return result;
    }

    private void write(Request request) {
      DefaultFullHttpRequest message =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(request.method()),
              request.target(),
              Unpooled.wrappedBuffer(request.body()));
      message.headers().set(HttpHeaderNames.HOST, to.toString());
      if (request.body().length > 0) {
        message.headers().set(HttpHeaderNames.CONTENT_TYPE, Reply.JSON);
      }
      message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
      channel
          .writeAndFlush(message)
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  fail(done.cause());
                }
              });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      CompletableFuture<Reply> result = takePending();
      if (result == null || response.decoderResult().isFailure()) {
        ctx.close();
        if (result != null) {
          result.completeExceptionally(new IOException("malformed response from " + to));
        }
        return;
      }
      Reply reply = Reply.json(response.status().code(), ByteBufUtil.getBytes(response.content()));
      Deque<Connection> idleToEndpoint =
          idleByEndpoint.computeIfAbsent(to, key -> new ArrayDeque<>());
      if (HttpUtil.isKeepAlive(response) && idleToEndpoint.size() < MAX_IDLE_PER_ENDPOINT) {
        idleToEndpoint.addLast(this);
        idle.add(this);
      } else {
        ctx.close();
      }
      result.complete(reply);
    }

    /**
     * Clears the pending request, cancels its deadline timer and returns its future; null if no
     * request is pending.
     */
    private CompletableFuture<Reply> takePending() {
      CompletableFuture<Reply> result = pending;
      pending = null;
      if (deadlineTimer != null) {
        deadlineTimer.cancel(false);
        deadlineTimer = null;
      }
      return result;
    }

    private void fail(Throwable cause) {
      CompletableFuture<Reply> result = takePending();
      channel.close();
      if (result != null) {
        result.completeExceptionally(cause);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      idle.remove(this);
      Deque<Connection> idleToEndpoint = idleByEndpoint.get(to);
      if (idleToEndpoint != null) {
        idleToEndpoint.remove(this);
        if (idleToEndpoint.isEmpty()) {
          idleByEndpoint.remove(to);
        }
      }
      fail(new IOException("connection to " + to + " closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(cause);
    }
  }
}
