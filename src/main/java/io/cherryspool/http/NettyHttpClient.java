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
 * HTTP client on the node's loop: kept connections per address, a deadline on every call. Sockets
 * are bounded, since a leader calls a thousand workers: an idle connection makes way for a new one,
 * the longest unused first, and a call beyond the bound fails at once.
 */
public final class NettyHttpClient implements Transport {
  private static final int MAX_REPLY = 64 << 20;
  private static final int MAX_IDLE = 4;
  private static final Duration CONNECT = Duration.ofSeconds(2);

  private final NettyEventLoop loop;
  private final int maxSockets;
  private final Map<Endpoint, Deque<Exchange>> idle = new HashMap<>();
  private final LinkedHashSet<Exchange> unused = new LinkedHashSet<>();
  private int open;

  public NettyHttpClient(NettyEventLoop loop, int maxSockets) {
    this.loop = loop;
    this.maxSockets = maxSockets;
  }

  @Override
  public CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline) {
    Deque<Exchange> kept = idle.get(to);
    Exchange exchange = null;
    while (kept != null && !kept.isEmpty() && exchange == null) {
      Exchange candidate = kept.pollLast();
      unused.remove(candidate);
      exchange = candidate.channel.isActive() ? candidate : null;
    }
    if (exchange == null) {
      if (open >= maxSockets && !unused.isEmpty()) {
        Exchange oldest = unused.iterator().next();
        unused.remove(oldest);
        oldest.channel.close();
      }
      if (open >= maxSockets) {
        return CompletableFuture.failedFuture(new IOException("no socket is free for " + to));
      }
      exchange = new Exchange(to);
      exchange.connect(deadline);
    }
    return exchange.begin(request, deadline);
  }

  /** The routine of one outgoing connection. */
  private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Endpoint to;
    private ChannelFuture connecting;
    private Channel channel;
    private CompletableFuture<Reply> pending;
    private Future<?> timer;

    Exchange(Endpoint to) {
      this.to = to;
    }

    void connect(Duration deadline) {
      Duration limit = deadline.compareTo(CONNECT) < 0 ? deadline : CONNECT;
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
                          .addLast(new HttpObjectAggregator(MAX_REPLY))
                          .addLast(Exchange.this);
                    }
                  })
              .connect(new InetSocketAddress(to.host(), to.port()));
      channel = connecting.channel();
      open++;
      channel.closeFuture().addListener(closed -> open--);
    }

    CompletableFuture<Reply> begin(Request request, Duration deadline) {
      CompletableFuture<Reply> result = new CompletableFuture<>();
      pending = result;
      timer =
          loop.group()
              .schedule(
                  () -> fail(new IOException("no answer from " + to + " in " + deadline)),
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
      CompletableFuture<Reply> result = settle();
      if (result == null || response.decoderResult().isFailure()) {
        ctx.close();
        if (result != null) {
          result.completeExceptionally(new IOException("malformed answer from " + to));
        }
        return;
      }
      Reply reply = Reply.json(response.status().code(), ByteBufUtil.getBytes(response.content()));
      Deque<Exchange> kept = idle.computeIfAbsent(to, key -> new ArrayDeque<>());
      if (HttpUtil.isKeepAlive(response) && kept.size() < MAX_IDLE) {
        kept.addLast(this);
        unused.add(this);
      } else {
        ctx.close();
      }
      result.complete(reply);
    }

    private CompletableFuture<Reply> settle() {
      CompletableFuture<Reply> result = pending;
      pending = null;
      if (timer != null) {
        timer.cancel(false);
        timer = null;
      }
      return result;
    }

    private void fail(Throwable cause) {
      CompletableFuture<Reply> result = settle();
      channel.close();
      if (result != null) {
        result.completeExceptionally(cause);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      unused.remove(this);
      Deque<Exchange> kept = idle.get(to);
      if (kept != null) {
        kept.remove(this);
        if (kept.isEmpty()) {
          idle.remove(to);
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
