package io.cherryspool.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves HTTP on the node's event loop. Connections are bounded, so that sockets remain for the
 * node's own calls, and one on which no complete request arrives for a while is closed.
 *
 * <p>There may be more workers than connections, and each sends only every few seconds. So well
 * before the bound, responses ask their clients to close: such a client reconnects when it has a
 * request, while one whose connection is refused would take this node for dead. At the bound the
 * connection that was idle longest is evicted; by then it most likely belongs to a dead client.
 */
public final class NettyHttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(NettyHttpServer.class);
  private static final int MAX_REQUEST_LINE_BYTES = 4096;
  private static final int MAX_HEADER_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 8192;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** Bounds the reads of one connection before another's turn; Netty's own default. */
  private static final int MAX_READS_PER_TURN = 16;

  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  /** Shorter than the idle timeout: clients connect because they have a request. */
  private static final Duration FIRST_REQUEST_TIMEOUT = Duration.ofSeconds(10);

  /** Bounds the connections that wait to be accepted, which hold sockets as well. */
  private static final int BACKLOG = 256;

  /** The fraction of the bound from which on responses ask their clients to close. */
  private static final double CROWDED_FRACTION = 0.875;

  private static final byte[] INTERNAL_ERROR =
      "{\"error\":\"internal error\"}".getBytes(StandardCharsets.UTF_8);

  private static final byte[] MALFORMED_REQUEST =
      "{\"error\":\"malformed\"}".getBytes(StandardCharsets.UTF_8);

  private final NettyEventLoop loop;
  private final RequestHandler handler;
  private final int maxConnections;
  private final int crowdedConnections;

  /** The counted connections without a request, the one that was idle longest first. */
  private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();

  private int connectionCount;
  private Channel listener;

  /** Makes a server that does not listen yet, and serves at most that many connections. */
  public NettyHttpServer(NettyEventLoop loop, RequestHandler handler, int maxConnections) {
    this.loop = loop;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.crowdedConnections = (int) (maxConnections * CROWDED_FRACTION);
  }

  /**
   * Begins to listen; port 0 stands for any that is free. Called once, from outside the loop, and
   * blocks. Fails with {@link java.net.BindException}, which Netty does not declare, if the port is
   * taken.
   */
  public void bind(Endpoint at) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop.group())
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new AbandonedRequestFilter())
                        .addLast(
                            new HttpServerCodec(
                                MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new Connection());
                  }
                })
            .bind(new InetSocketAddress(at.host(), at.port()))
            .sync()
            .channel();
  }

  /** Reads go on until nothing is left, so that a connection's end is read with its last bytes. */
  private static RecvByteBufAllocator readUntilEmpty() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_TURN);
  }

  /** The port that the server listens on, where {@link #bind} was asked for any. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** How many connections are open and not evicted. Exact on the event loop only. */
  public int connectionCount() {
    return connectionCount;
  }

  /** What a connection is doing. */
  private enum Phase {
    /** Not accepted yet, turned away, evicted or closed. */
    NOT_COUNTED,
    /** Counted, and without a request: it may be evicted. */
    IDLE,
    /** Counted, and its request is being answered. */
    ANSWERING
  }

  /** One incoming connection. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private long lastUseNanos = System.nanoTime();
    private Duration timeout = FIRST_REQUEST_TIMEOUT;
    private Phase phase = Phase.NOT_COUNTED;
    private Channel channel;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      if (connectionCount >= maxConnections && !idle.isEmpty()) {
        Connection oldest = idle.iterator().next();
        oldest.leave();
        oldest.channel.close();
      }
      if (connectionCount >= maxConnections) {
        ctx.close();
        return;
      }
      connectionCount++;
      phase = Phase.IDLE;
      idle.add(this);
      scheduleTimeoutCheck(ctx);
    }

    /** Takes it out of the count, whether or not the socket is closed yet. */
    private void leave() {
      idle.remove(this);
      if (phase != Phase.NOT_COUNTED) {
        phase = Phase.NOT_COUNTED;
        connectionCount--;
      }
    }

    private void scheduleTimeoutCheck(ChannelHandlerContext ctx) {
      ctx.executor()
          .schedule(
              () -> closeIfTimedOut(ctx), FIRST_REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void closeIfTimedOut(ChannelHandlerContext ctx) {
      if (!ctx.channel().isActive()) {
        return;
      }
      if (phase != Phase.ANSWERING && System.nanoTime() - lastUseNanos > timeout.toNanos()) {
        ctx.close();
      } else {
        scheduleTimeoutCheck(ctx);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      leave();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      lastUseNanos = System.nanoTime();
      timeout = IDLE_TIMEOUT;
      if (message.decoderResult().isFailure()) {
        write(ctx, false, Reply.json(400, MALFORMED_REQUEST));
        return;
      }
      boolean isPersistent = HttpUtil.isKeepAlive(message);
      Request request =
          new Request(
              message.method().name(), message.uri(), ByteBufUtil.getBytes(message.content()));
      moveTo(Phase.ANSWERING);
      handle(request)
          .whenComplete((reply, failure) -> answer(ctx, isPersistent, request, reply, failure));
    }

    /** Changes the phase, unless the connection is not counted any more. */
    private void moveTo(Phase next) {
      if (phase != Phase.NOT_COUNTED) {
        phase = next;
        if (next == Phase.IDLE) {
          idle.add(this);
        } else {
          idle.remove(this);
        }
      }
    }

    private CompletableFuture<Reply> handle(Request request) {
      try {
        return handler.handle(request);
      } catch (RuntimeException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    private void answer(
        ChannelHandlerContext ctx,
        boolean isPersistent,
        Request request,
        Reply reply,
        Throwable failure) {
      lastUseNanos = System.nanoTime();
      moveTo(Phase.IDLE);
      if (failure != null) {
        LOG.error("request failed: method={} path={}", request.method(), request.path(), failure);
      }
      Reply sent = failure == null ? reply : Reply.withRetryAfter(503, INTERNAL_ERROR, 1);
      boolean isCrowded = connectionCount > crowdedConnections;
      write(ctx, isPersistent && !isCrowded && !sent.closesConnection(), sent);
    }

    private void write(ChannelHandlerContext ctx, boolean isPersistent, Reply reply) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(reply.status()),
              Unpooled.wrappedBuffer(reply.body()));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
      if (reply.retryAfterSeconds() > 0) {
        response.headers().setInt(HttpHeaderNames.RETRY_AFTER, reply.retryAfterSeconds());
      }
      if (!isPersistent) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      ChannelFuture written = ctx.writeAndFlush(response);
      if (!isPersistent) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug(
          "connection closed: peer={} cause={}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
